#ifndef TESTS_PROXY_FAKE_STORE_H
#define TESTS_PROXY_FAKE_STORE_H

/**
 * DOC: Fake of the platform's store, in the test's process with its own event
 * loop.
 */

#include "jackdawladder/request.h"

/**
 * struct fake_store - a store with an HTTP listener
 * @rows: struct fake_store_row by "table/key"
 * @version: version of the last change
 * @era: era that its answers name, 0 for none
 * @page_rows: rows in a page of a table, 0 for all
 * @away: closes each connection at once
 * @late_ms: time by which answers to feed calls are late
 * @silent_table: table whose reads are never answered, NULL for none
 * @hold_ahead: feed calls after a version that does not exist yet wait, instead
 *              of being answered with 410
 * @raw_answer: body of all answers instead of the right ones, NULL for none
 * @raw_status: status of these answers
 * @hold_writes: apply writes, but answer them only on
 *               fake_store_release_writes()
 * @held_writes: writes that wait for their answer
 * @waiting_feeds: feed calls that wait for a change, of struct fake_feed
 * @reads: number of reads of whole tables or single rows
 * @feeds: number of feed calls for the table "op"
 * @writes: number of write calls, also of refused ones
 * @calls: number of all calls
 */
struct fake_store
{
  struct jl_loop *loop;
  struct jl_net *net;
  GHashTable *rows;
  uint64_t version;
  uint64_t era;
  unsigned page_rows;
  bool away;
  unsigned late_ms;
  const char *silent_table;
  bool hold_ahead;
  const char *raw_answer;
  unsigned raw_status;
  bool hold_writes;
  GPtrArray *held_writes;
  GPtrArray *waiting_feeds;
  unsigned reads;
  unsigned feeds;
  unsigned writes;
  unsigned calls;
};

/**
 * fake_store_open - initializes the store and listens at @endpoint
 */
void fake_store_open (struct fake_store *store, struct jl_endpoint endpoint);

/**
 * fake_store_put - changes a row, as a write of another client does
 */
void fake_store_put (struct fake_store *store,
                     const char *table,
                     const char *key,
                     const char *value);

/**
 * fake_store_put_raw - changes a row whose JSON text in answers is @raw
 */
void fake_store_put_raw (struct fake_store *store,
                         const char *table,
                         const char *key,
                         const char *raw);

/**
 * fake_store_restore - loses all rows, goes back to @version and begins the
 * next era; closes the connections of waiting calls
 */
void fake_store_restore (struct fake_store *store, uint64_t version);

/**
 * fake_store_lose_calls - never answers the calls that wait for changes of a
 * table, as if their connections passed nothing any more
 */
void fake_store_lose_calls (struct fake_store *store, const char *table);

/**
 * fake_store_get - returns the value of a row, NULL if there is no such row
 */
const char *
fake_store_get (struct fake_store *store, const char *table, const char *key);

/**
 * fake_store_release_writes - answers the held writes
 */
void fake_store_release_writes (struct fake_store *store);

/**
 * fake_store_run - runs @loop and the store's event loop for @ms milliseconds
 */
void
fake_store_run (struct fake_store *store, struct jl_loop *loop, unsigned ms);

#endif
