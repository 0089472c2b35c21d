#ifndef STANDINS_MIX_H
#define STANDINS_MIX_H

/**
 * DOC: Kinds of request that a caller sends, and their counts.
 */

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#define MIX_MAX 16

/**
 * enum key_type - how a kind's requests are named
 */
enum key_type
{
  KEY_NONE,
  KEY_TICKET,
  KEY_OWN,
};

/**
 * struct kind - one kind of request in the mix, and its counts
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
 * mix_add - adds a kind from "NAME METHOD PATH [name=value]..."
 * @problem: receives what is wrong with @text
 */
bool mix_add (struct mix *mix, const char *text, const char **problem);

/**
 * mix_draw - a kind at random, by weight
 */
struct kind *mix_draw (struct mix *mix, GRand *random);

/**
 * mix_print - prints the counts of each kind
 */
void mix_print (const struct mix *mix, double seconds);

/**
 * mix_all_whole - whether all requests got their whole answers
 */
bool mix_all_whole (const struct mix *mix);

#endif
