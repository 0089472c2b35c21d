#ifndef STANDINS_COMMON_H
#define STANDINS_COMMON_H

/**
 * DOC: What the stand-ins share: clock, history files, payloads, HTTP server.
 *
 * None of it uses the project's library, so that a history never depends on
 * the code that it judges.
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
 * clock_us - the monotonic clock, the same for all processes of a machine
 */
uint64_t clock_us (void);

void sleep_us (uint64_t duration_us);

struct history;

/**
 * history_open - appends to the history in a file
 * @path: NULL records nothing
 */
struct history *history_open (const char *path);

/**
 * history_add - writes one line as a JSON object in one system call
 * @format: the members after "at", without braces
 */
void history_add (struct history *history, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * history_text - @text without what would have to be escaped in JSON
 *
 * Return: free with g_free().
 */
char *history_text (const char *text);

/**
 * payload_new - bytes that follow from a request's identifier
 * @size: length after the first line, which names identifier and checksum
 */
GString *payload_new (const char *request_id, size_t size);

/**
 * payload_check - whether bytes are a whole payload, and whose
 * @request_id: receives the identifier; REQUEST_ID_SIZE bytes
 *
 * Return: true if it is whole.
 */
bool payload_check (const char *bytes, size_t size, char *request_id);

/**
 * server_start - starts an HTTP server for all paths
 * @listen: "a.b.c.d:port"
 *
 * Ends the process if the address cannot be had.
 */
struct mg_context *server_start (const char *listen,
                                 unsigned threads,
                                 const struct mg_callbacks *callbacks,
                                 mg_request_handler handler);

/**
 * server_reply - sends a whole answer
 * @headers: lines with CRLF, may be NULL
 */
int server_reply (struct mg_connection *connection,
                  int status,
                  const char *headers,
                  const char *body,
                  size_t size);

/**
 * server_hang_up - closes the connection without an answer
 */
int server_hang_up (struct mg_connection *connection);

/**
 * server_read_body - reads the whole body of a request
 */
GString *server_read_body (struct mg_connection *connection);

/**
 * server_query - a value from the query string
 *
 * Return: free with g_free(); @otherwise copied when it is not there.
 */
char *server_query (const struct mg_request_info *request,
                    const char *name,
                    const char *otherwise);

/**
 * server_query_number - the same as a number
 */
double server_query_number (const struct mg_request_info *request,
                            const char *name,
                            double otherwise);

/**
 * wait_for_stop - blocks until SIGTERM or SIGINT arrives
 *
 * To be prepared with block_stop_signals() before any thread starts.
 */
void block_stop_signals (void);
void wait_for_stop (void);

#endif
