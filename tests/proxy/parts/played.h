#ifndef TESTS_PROXY_PLAYED_H
#define TESTS_PROXY_PLAYED_H

/**
 * DOC: The platform's store, played in the test's process on a loop of its own.
 */

#include "jackdawladder/request.h"

/**
 * struct played - the store
 * @rows: struct played_row by "table/key"
 * @version: of the last change
 * @silent: table whose rows are not given out, NULL for none
 * @hold: writes are done, and answered later
 * @held: writes that wait for their answer
 * @waiting: calls that wait for a change
 * @reads: calls for whole tables or single rows
 * @feeds: calls for changes of the table "op"
 * @writes: calls that would change a row
 */
struct played
{
  struct jl_loop *loop;
  struct jl_net *net;
  GHashTable *rows;
  uint64_t version;
  const char *silent;
  bool hold;
  GPtrArray *held;
  GPtrArray *waiting;
  unsigned reads;
  unsigned feeds;
  unsigned writes;
};

void played_open (struct played *played, struct jl_endpoint endpoint);

/**
 * played_put - changes a row, as another writer would
 */
void played_put (struct played *played,
                 const char *table,
                 const char *key,
                 const char *value);

/**
 * played_get - a row's value, NULL for none
 */
const char *
played_get (struct played *played, const char *table, const char *key);

/**
 * played_release - answers the writes that were held
 */
void played_release (struct played *played);

/**
 * played_turn - lets @loop and the store run for some time
 */
void played_turn (struct played *played, struct jl_loop *loop, unsigned ms);

#endif
