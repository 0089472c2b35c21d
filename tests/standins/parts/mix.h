#ifndef STANDINS_MIX_H
#define STANDINS_MIX_H

/**
 * DOC: The request kinds that a caller sends, and their result counters.
 */

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#define MIX_MAX 16

/**
 * enum key_type - which idempotency key the requests of a kind carry
 * @KEY_NONE: none
 * @KEY_TICKET: a ticket issued by a daemon
 * @KEY_OWN: a key that the caller makes up
 */
enum key_type
{
  KEY_NONE,
  KEY_TICKET,
  KEY_OWN,
};

/**
 * struct kind - one request kind of the mix, and its result counters
 * @weight: share of the requests, relative to the weights of the other kinds
 * @importance: 0 for the most important class
 * @crash: whether the requests crash the target that runs them
 * @asked: requests drawn, including the skipped requests
 * @done: requests that got their own complete answer with status 200
 * @refused: requests whose last outcome was "not-run"
 * @unknown: requests whose last answer had no outcome, or another one
 * @failed: requests whose last outcome was "done" without a good answer
 * @skipped: requests never sent, for lack of a ticket or since too many were
 *           in progress
 */
struct kind
{
  char *name;
  char *method;
  char *path;
  double weight;
  int importance;
  bool idempotent;
  size_t request_bytes;
  size_t answer_bytes;
  enum key_type key;
  bool crash;
  unsigned asked;
  unsigned done;
  unsigned refused;
  unsigned unknown;
  unsigned failed;
  unsigned skipped;
};

struct mix
{
  unsigned count;
  struct kind kinds[MIX_MAX];
};

/**
 * mix_add - parses and adds a request kind
 * @text: "NAME METHOD PATH [name=value]..."
 * @problem: receives the error message if @text is malformed
 *
 * Return: false if @text is malformed or there are too many kinds.
 */
bool mix_add (struct mix *mix, const char *text, const char **problem);

/**
 * mix_draw - returns a random kind; its probability is proportional to its
 * weight
 */
struct kind *mix_draw (struct mix *mix, GRand *random);

/**
 * mix_print - prints the counters of each kind as a table
 * @seconds: duration of the load, for the goodput
 */
void mix_print (const struct mix *mix, double seconds);

/**
 * mix_all_whole - whether all requests got complete answers
 */
bool mix_all_whole (const struct mix *mix);

#endif
