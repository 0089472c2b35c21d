#ifndef STANDINS_COMMON_H
#define STANDINS_COMMON_H

/**
 * DOC: Code shared by the stand-ins: clock, history files, request and answer
 * payloads, and an HTTP server.
 *
 * Nothing here uses the project's library. A history must not depend on the
 * code under test.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <civetweb.h>
#include <glib.h>

#define USEC_PER_MSEC UINT64_C (1000)
#define USEC_PER_SEC UINT64_C (1000000)
#define REQUEST_ID_SIZE 64

/**
 * clock_us - returns the time of the monotonic clock in microseconds
 *
 * All processes of a machine share this clock.
 */
uint64_t clock_us (void);

/**
 * sleep_us - sleeps for the whole duration, also when a signal interrupts it
 */
void sleep_us (uint64_t duration_us);

struct history;

/**
 * history_open - opens a history file for appending
 * @path: NULL for a history that discards all records
 *
 * Exits the process if the file cannot be opened.
 */
struct history *history_open (const char *path);

/**
 * history_add - appends one JSON object as a line, in a single write()
 * @format: the object's members without braces; "at", the time in
 *          microseconds, is added in front of them
 */
void history_add (struct history *history, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * history_text - copies a text for use in a JSON string
 * @text: NULL stands for an empty string
 *
 * Quotes, backslashes and characters other than printable ASCII become "_".
 *
 * Return: the copy, to be freed with g_free().
 */
char *history_text (const char *text);

/**
 * payload_new - generates a payload whose bytes depend on a request identifier
 * @size: bytes after the first line, which gives the identifier, the size and
 *        a checksum
 */
GString *payload_new (const char *request_id, size_t size);

/**
 * payload_check - checks size and checksum of a payload
 * @request_id: receives the identifier of the request that the payload belongs
 *              to; has REQUEST_ID_SIZE bytes
 *
 * Return: true if the payload is complete and unchanged.
 */
bool payload_check (const char *bytes, size_t size, char *request_id);

/**
 * server_start - starts an HTTP server that passes all paths to one handler
 * @listen: "a.b.c.d:port"
 *
 * Exits the process if the server cannot listen on the address.
 */
struct mg_context *server_start (const char *listen,
                                 unsigned threads,
                                 const struct mg_callbacks *callbacks,
                                 mg_request_handler handler);

/**
 * server_reply - sends a complete response
 * @headers: additional header lines, each ending in CRLF; may be NULL
 *
 * Return: @status, or -1 if the response could not be sent.
 */
int server_reply (struct mg_connection *connection,
                  int status,
                  const char *headers,
                  const char *body,
                  size_t size);

/**
 * server_hang_up - closes the connection without sending a response
 *
 * Return: the handler's return value for the server.
 */
int server_hang_up (struct mg_connection *connection);

/**
 * server_read_body - reads a request body up to its end
 */
GString *server_read_body (struct mg_connection *connection);

/**
 * server_query - returns a parameter of the query string
 * @fallback: value of a missing parameter, may be NULL
 *
 * Return: a copy, to be freed with g_free().
 */
char *server_query (const struct mg_request_info *request,
                    const char *name,
                    const char *fallback);

/**
 * server_query_number - returns a parameter of the query string as a number
 * @fallback: value of a missing parameter
 */
double server_query_number (const struct mg_request_info *request,
                            const char *name,
                            double fallback);

/**
 * block_stop_signals - blocks SIGTERM and SIGINT, and ignores SIGPIPE
 *
 * Must be called before any thread starts: threads inherit the signal mask.
 */
void block_stop_signals (void);

/**
 * wait_for_stop - waits until SIGTERM or SIGINT arrives
 *
 * Needs an earlier call of block_stop_signals().
 */
void wait_for_stop (void);

#endif
