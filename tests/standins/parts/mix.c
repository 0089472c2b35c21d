/**
 * DOC: The request kinds that a caller sends, and their result counters.
 */

#include "mix.h"

#include <stdio.h>
#include <string.h>

static bool
set_property (struct kind *kind, const char *name, const char *value)
{
  double number = g_ascii_strtod (value, NULL);

  if (strcmp (name, "weight") == 0)
    kind->weight = number;
  else if (strcmp (name, "importance") == 0)
    kind->importance = (int)number;
  else if (strcmp (name, "idempotent") == 0)
    kind->idempotent = number != 0;
  else if (strcmp (name, "request-bytes") == 0)
    kind->request_bytes = (size_t)number;
  else if (strcmp (name, "answer-bytes") == 0)
    kind->answer_bytes = (size_t)number;
  else if (strcmp (name, "crash") == 0)
    kind->crash = number != 0;
  else if (strcmp (name, "key") != 0)
    return false;
  else if (strcmp (value, "ticket") == 0)
    kind->key = KEY_TICKET;
  else if (strcmp (value, "own") == 0)
    kind->key = KEY_OWN;
  else
    return strcmp (value, "none") == 0;
  return true;
}

/* Parses the properties that follow a kind's name, method and path. */
static bool
parse_properties (struct kind *kind, char **words, const char **problem)
{
  for (; *words != NULL; words++)
    {
      char *equals = strchr (*words, '=');

      *problem = "property is not of the form name=value";
      if (equals == NULL)
        return false;
      *equals = '\0';
      *problem = "unknown property or value";
      if (!set_property (kind, *words, equals + 1))
        return false;
    }
  return true;
}

bool
mix_add (struct mix *mix, const char *text, const char **problem)
{
  g_auto (GStrv) words = g_strsplit (text, " ", 0);
  struct kind *kind = &mix->kinds[mix->count];

  *problem = "expected NAME METHOD PATH [name=value]...";
  if (g_strv_length (words) < 3)
    return false;
  *problem = "too many kinds";
  if (mix->count == MIX_MAX)
    return false;
  mix->count++;
  *kind = (struct kind){ .name = g_strdup (words[0]),
                         .method = g_strdup (words[1]),
                         .path = g_strdup (words[2]),
                         .weight = 1,
                         .idempotent = true,
                         .answer_bytes = 100 };
  return parse_properties (kind, words + 3, problem);
}

struct kind *
mix_draw (struct mix *mix, GRand *random)
{
  double total = 0;
  double drawn;

  for (unsigned i = 0; i < mix->count; i++)
    total += mix->kinds[i].weight;
  drawn = g_rand_double (random) * total;
  for (unsigned i = 0; i < mix->count; i++)
    {
      drawn -= mix->kinds[i].weight;
      if (drawn < 0)
        return &mix->kinds[i];
    }
  return &mix->kinds[mix->count - 1];
}

void
mix_print (const struct mix *mix, double seconds)
{
  printf ("%-18s %8s %8s %8s %8s %8s %8s %10s\n", "kind", "asked", "whole",
          "refused", "unknown", "failed", "skipped", "goodput/s");
  for (unsigned i = 0; i < mix->count; i++)
    {
      const struct kind *kind = &mix->kinds[i];

      printf ("%-18s %8u %8u %8u %8u %8u %8u %10.1f\n", kind->name, kind->asked,
              kind->done, kind->refused, kind->unknown, kind->failed,
              kind->skipped, kind->done / seconds);
    }
}

bool
mix_all_whole (const struct mix *mix)
{
  for (unsigned i = 0; i < mix->count; i++)
    if (mix->kinds[i].done < mix->kinds[i].asked)
      return false;
  return true;
}
