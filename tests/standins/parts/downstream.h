#ifndef STANDINS_DOWNSTREAM_H
#define STANDINS_DOWNSTREAM_H

/**
 * DOC: Downstream calls that a target makes while it handles a request.
 */

#include <stdbool.h>

#include <curl/curl.h>
#include <glib.h>

#define DOWNSTREAM_CALL_MAX 8

/**
 * struct downstream_call - a call made for each request in a set of paths
 * @prefix: requests whose path starts with it make the call
 */
struct downstream_call
{
  char *prefix;
  char *method;
  char *path;
};

/**
 * struct downstream - the downstream calls of a target, in the order made
 */
struct downstream
{
  unsigned count;
  struct downstream_call calls[DOWNSTREAM_CALL_MAX];
};

/**
 * downstream_add - parses and adds a downstream call
 * @text: "METHOD PATH" for a call made by all requests, "PREFIX METHOD PATH"
 *        for a call made by requests whose path starts with PREFIX
 *
 * Return: false if @text is malformed or there are too many calls.
 */
bool downstream_add (struct downstream *downstream, const char *text);

/**
 * downstream_curl - returns the calling thread's curl handle, reset
 *
 * The handle keeps its open connections between calls.
 */
CURL *downstream_curl (void);

#endif
