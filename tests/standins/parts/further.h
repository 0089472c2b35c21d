#ifndef STANDINS_FURTHER_H
#define STANDINS_FURTHER_H

/**
 * DOC: Calls that a target makes further down the chain.
 */

#include <stdbool.h>

#include <curl/curl.h>
#include <glib.h>

#define THEN_MAX 8

/**
 * struct then - a call that requests for @prefix go on to make
 */
struct then
{
  char *prefix;
  char *method;
  char *path;
};

struct further
{
  unsigned count;
  struct then thens[THEN_MAX];
};

/**
 * further_add - adds a call from "METHOD PATH", for all requests, or
 * "PREFIX METHOD PATH", for requests whose path starts so
 */
bool further_add (struct further *further, const char *text);

/**
 * further_curl - the calling thread's handle, with its kept connection
 */
CURL *further_curl (void);

#endif
