#ifndef JACKDAWLADDER_TESTS_TABLE_H
#define JACKDAWLADDER_TESTS_TABLE_H

/**
 * DOC: Fake of the platform's table service. A script of letters selects what
 * happens to each write and read.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "jackdawladder/base.h"

/**
 * struct table - fake table service on a port of its own
 * @rows: map of keys to struct table_row
 * @last_tag: number of the ETag given last
 * @writes: one letter for each of the next writes, then "o" for all others:
 *          o executes the write;
 *          l executes the write and loses the response;
 *          d drops the write;
 *          e responds with status 503, b with status 400;
 *          p drops the write and executes it after the next read;
 *          f executes the write, then @other_applies applies of other
 *          operators, and loses the response;
 *          r executes an apply of another operator and drops the write
 * @reads: one letter for each of the next reads, then "o" for all others:
 *         o executes the read, d drops it
 * @other_applies: number of other applies for letter f
 * @write_count: number of writes received
 * @version_skipped: a configuration was replaced by one whose version is not
 *                   the next one
 * @pending_key: key of a write delayed by letter p, or NULL
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
  uint32_t other_applies;
  uint32_t write_count;
  bool version_skipped;
  char *pending_key;
  char *pending_tag;
  char *pending_value;
};

/**
 * table_open - starts the fake; aborts the process on failure
 */
struct table *table_open (void);

/**
 * table_script_writes - sets what happens to the next writes
 * @script: letters as in struct table; not copied
 */
void table_script_writes (struct table *table, const char *script);

/**
 * table_script_reads - sets what happens to the next reads
 * @script: letters as in struct table; not copied
 */
void table_script_reads (struct table *table, const char *script);

/**
 * table_write_count - returns the number of writes received
 */
uint32_t table_write_count (struct table *table);

/**
 * table_close - stops the fake
 */
void table_close (struct table *table);

/**
 * table_store - writes a row unconditionally
 */
void table_store (struct table *table, const char *key, const char *value);

/**
 * table_apply_others - stores @count newer configurations of other operators
 */
void table_apply_others (struct table *table, uint32_t count);

/**
 * table_has - whether the table has a row
 */
bool table_has (struct table *table, const char *key);

#endif
