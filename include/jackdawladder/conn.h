#ifndef JACKDAWLADDER_CONN_H
#define JACKDAWLADDER_CONN_H

/**
 * DOC: HTTP/1.1 client and server connections on the event loop.
 *
 * A connection parses one message at a time. After a complete message, further
 * input is buffered until jl_conn_read_next() is called, but the connection
 * still detects that the peer has disconnected. Output is buffered and flushed
 * once per loop iteration.
 */

#include "jackdawladder/head.h"
#include "jackdawladder/loop.h"

struct jl_conn;
struct jl_net;

/**
 * enum jl_conn_error - why a connection ended
 * @JL_CONN_CONNECT_FAILED: the connection was never established
 * @JL_CONN_CLOSED: the peer closed the connection, or the head or idle timeout
 *                  expired
 * @JL_CONN_RESET: reading or writing failed, or output made no progress for too
 *                 long
 * @JL_CONN_MALFORMED: the input is not a valid HTTP/1.1 message, or came when
 * no message was expected
 * @JL_CONN_TOO_LARGE: the head of a message exceeds the size limit
 */
enum jl_conn_error
{
  JL_CONN_CONNECT_FAILED,
  JL_CONN_CLOSED,
  JL_CONN_RESET,
  JL_CONN_MALFORMED,
  JL_CONN_TOO_LARGE,
};

/**
 * struct jl_conn_ops - callbacks to the owner of a connection
 * @head: the head of a message was read
 * @body: part of the message body was read
 * @end: the message is complete; a server must call jl_conn_read_next() to read
 *       the next request
 * @drained: the output backlog fell to JL_CONN_LOW_WATER_BYTES after it had
 *           exceeded JL_CONN_HIGH_WATER_BYTES
 * @closed: the connection has ended for the reason @error; it is freed after
 *          this call
 */
struct jl_conn_ops
{
  void (*head) (void *context, struct jl_conn *conn);
  void (*body) (void *context,
                struct jl_conn *conn,
                const char *data,
                size_t size);
  void (*end) (void *context, struct jl_conn *conn);
  void (*drained) (void *context, struct jl_conn *conn);
  void (*closed) (void *context,
                  struct jl_conn *conn,
                  enum jl_conn_error error);
};

/**
 * JL_ACCEPT_FN - declares a callback for accepted connections
 *
 * The callback must set the owner of the connection with jl_conn_set_owner().
 */
#define JL_ACCEPT_FN(name) void (*name) (void *context, struct jl_conn *conn)

/**
 * struct jl_net_counters - totals over all connections of the process
 * @accepted: accepted connections
 * @connected: established outgoing connections
 * @connect_failed: outgoing connections that could not be established
 * @bytes_in: bytes read from sockets
 * @bytes_out: bytes written to sockets
 */
struct jl_net_counters
{
  uint64_t accepted;
  uint64_t connected;
  uint64_t connect_failed;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

/**
 * jl_net_new - creates the state shared by all connections of the process
 *
 * Installs the flush callback of @loop.
 */
struct jl_net *jl_net_new (struct jl_loop *loop);

/**
 * jl_net_set_limits - sets the limits for messages and accepted connections
 * @head_bytes_max: maximum size of the head of a message
 * @head_timeout_us: maximum time from the first byte of a request head to its
 *                   end
 * @idle_timeout_us: maximum time without input between two requests
 */
void jl_net_set_limits (struct jl_net *net,
                        size_t head_bytes_max,
                        uint64_t head_timeout_us,
                        uint64_t idle_timeout_us);

/**
 * jl_net_counters - returns the totals over all connections
 */
const struct jl_net_counters *jl_net_counters (const struct jl_net *net);

/**
 * jl_net_open_count - returns the number of open connections
 */
unsigned jl_net_open_count (const struct jl_net *net);

/**
 * jl_net_has_unsent_output - whether an accepted connection has output that the
 * kernel has not taken yet, such as the end of a response to a slow reader
 */
bool jl_net_has_unsent_output (const struct jl_net *net);

/**
 * jl_net_close_expired - closes connections whose timeouts have expired
 *
 * Applies the head, idle, write and linger timeouts to accepted connections,
 * and ends those to peers that do not acknowledge output. A connection with
 * output that waits is not idle, and a peer that reads nothing but acknowledges
 * probes is alive. Call it about twice per second.
 */
void jl_net_close_expired (struct jl_net *net);

/**
 * jl_net_listen - accepts connections at @endpoint
 * @accept: called for each accepted connection with @context
 *
 * Return: false if binding or listening fails; @why receives the reason.
 */
bool jl_net_listen (struct jl_net *net,
                    struct jl_endpoint endpoint,
                    JL_ACCEPT_FN (accept),
                    void *context,
                    const char **why);

/**
 * jl_conn_connect - starts connecting to @endpoint
 * @ops: callbacks to the owner, called with @context
 *
 * Output may be written before the connection is established.
 *
 * Return: NULL if the connection attempt fails immediately.
 */
struct jl_conn *jl_conn_connect (struct jl_net *net,
                                 struct jl_endpoint endpoint,
                                 const struct jl_conn_ops *ops,
                                 void *context);

/**
 * jl_conn_is_connected - whether the connection is established
 */
bool jl_conn_is_connected (const struct jl_conn *conn);

/**
 * jl_conn_set_owner - sets the callbacks of a connection and their context
 */
void jl_conn_set_owner (struct jl_conn *conn,
                        const struct jl_conn_ops *ops,
                        void *context);

/**
 * jl_conn_head - returns the head of the message that is being read
 */
struct jl_head *jl_conn_head (struct jl_conn *conn);

/**
 * jl_conn_peer - returns the address of the peer
 */
struct jl_endpoint jl_conn_peer (const struct jl_conn *conn);

/**
 * jl_conn_start_request - prepares a client connection for a new request
 * @no_body: the response has no body, as for a HEAD request
 *
 * Must be called before the request is written.
 */
void jl_conn_start_request (struct jl_conn *conn, bool no_body);

/**
 * jl_conn_write - appends @data to the output
 */
void jl_conn_write (struct jl_conn *conn, const char *data, size_t size);

/**
 * jl_conn_printf - appends formatted text to the output
 */
void jl_conn_printf (struct jl_conn *conn, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * jl_conn_write_chunk - writes one chunk of a body with chunked transfer coding
 * @size: 0 ends the body
 */
void jl_conn_write_chunk (struct jl_conn *conn, const char *data, size_t size);

/**
 * jl_conn_backlog - returns the bytes of output not yet taken by the kernel
 */
size_t jl_conn_backlog (const struct jl_conn *conn);

/**
 * jl_conn_is_unsent - whether no output was passed to the kernel since
 * jl_conn_start_request()
 *
 * If so, the peer cannot have seen the request, and a retry is safe.
 */
bool jl_conn_is_unsent (const struct jl_conn *conn);

/**
 * jl_conn_has_extra_input - whether input follows the message that ended
 */
bool jl_conn_has_extra_input (const struct jl_conn *conn);

/**
 * jl_conn_mark - keeps a mark with the connection until it ends
 *
 * Return: false if it has JL_CONN_MARKS_MAX marks already.
 */
#define JL_CONN_MARKS_MAX 8
bool jl_conn_mark (struct jl_conn *conn, uint64_t mark);

/**
 * jl_conn_has_mark - whether the connection has this mark
 */
bool jl_conn_has_mark (const struct jl_conn *conn, uint64_t mark);

/**
 * jl_conn_has_unread_input - whether the kernel holds input, or the end of it,
 * that was not read yet
 */
bool jl_conn_has_unread_input (const struct jl_conn *conn);

/**
 * jl_conn_set_read_paused - pauses or resumes reading, for flow control
 */
void jl_conn_set_read_paused (struct jl_conn *conn, bool paused);

/**
 * jl_conn_read_next - starts parsing the next message
 *
 * Call it when the processing of the message that ended is done. Input buffered
 * meanwhile is parsed within this call.
 */
void jl_conn_read_next (struct jl_conn *conn);

/**
 * jl_conn_close_after_flush - closes the connection when all output is flushed
 *
 * The owner receives no further callbacks.
 */
void jl_conn_close_after_flush (struct jl_conn *conn);

/**
 * jl_conn_abort - closes the connection immediately and discards its output
 *
 * A connection of a client with output that its peer has not acknowledged is
 * reset: the end of the connection would reach a peer that does not read only
 * behind that output. The owner receives no further callbacks.
 */
void jl_conn_abort (struct jl_conn *conn);

/**
 * jl_conn_set_idle_timeout - overrides the idle timeout of jl_net_set_limits()
 * @idle_timeout_us: 0 restores the timeout of jl_net_set_limits()
 */
void jl_conn_set_idle_timeout (struct jl_conn *conn, uint64_t idle_timeout_us);

/* Output backlog above which the producer of the output should pause. */
#define JL_CONN_HIGH_WATER_BYTES 32768
/* Output backlog at which the producer may resume. */
#define JL_CONN_LOW_WATER_BYTES 8192

#endif
