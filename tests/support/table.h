#ifndef JACKDAWLADDER_TESTS_TABLE_H
#define JACKDAWLADDER_TESTS_TABLE_H

/**
 * DOC: Fake of the platform's table, told by letters what becomes of each
 * write and read.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "jackdawladder/base.h"

/**
 * struct table - the fake, on a port of its own
 * @writes: letters for the next writes: o obey, l obey and lose the answer,
 *          d drop, e answer 503, b answer 400, p drop and obey after the next
 *          read, f obey, let others follow and lose the answer, r let another
 *          win and drop; after the last letter all are obeyed
 * @reads: letters for the next reads: o obey, d drop
 * @followers: other applies for letter f
 * @went_back: a configuration was replaced by one not one version above it
 */
struct table
{
  struct mg_context *server;
  struct jl_endpoint endpoint;
  pthread_mutex_t lock;
  GHashTable *rows;
  uint64_t last_tag;
  const char *writes;
  const char *reads;
  uint32_t followers;
  uint32_t write_count;
  bool went_back;
  char *pending_key;
  char *pending_tag;
  char *pending_value;
};

/**
 * table_open - starts the fake; ends the process if it cannot be had
 */
struct table *table_open (void);

/**
 * table_script_writes - what becomes of the next writes
 */
void table_script_writes (struct table *table, const char *letters);
void table_script_reads (struct table *table, const char *letters);

/**
 * table_write_count - writes that have arrived
 */
uint32_t table_write_count (struct table *table);

/**
 * table_close - stops the fake
 */
void table_close (struct table *table);

/**
 * table_store - puts a row in place whatever was there
 */
void table_store (struct table *table, const char *key, const char *value);

/**
 * table_follow - puts @count configurations of other operators on top
 */
void table_follow (struct table *table, uint32_t count);

/**
 * table_has - whether there is a row
 */
bool table_has (struct table *table, const char *key);

#endif
