#ifndef JACKDAWLADDER_CONN_H
#define JACKDAWLADDER_CONN_H

/**
 * DOC: HTTP/1.1 connections on the event loop, of both sides.
 *
 * A connection reads one message at a time. After a whole message it holds
 * back what follows until jl_conn_next(), but goes on noticing that the peer
 * has gone. Output is kept and flushed once per turn of the loop.
 */

#include "jackdawladder/head.h"
#include "jackdawladder/loop.h"

struct jl_conn;
struct jl_net;

/**
 * enum jl_conn_error - why a connection ended
 * @JL_CONN_REFUSED: it was never established
 * @JL_CONN_CLOSED: the peer closed it
 * @JL_CONN_RESET: it broke
 * @JL_CONN_MALFORMED: what was read is no HTTP/1.1 message
 * @JL_CONN_TOO_LARGE: a head is larger than the limit
 */
enum jl_conn_error
{
  JL_CONN_REFUSED,
  JL_CONN_CLOSED,
  JL_CONN_RESET,
  JL_CONN_MALFORMED,
  JL_CONN_TOO_LARGE,
};

/**
 * struct jl_conn_ops - what the owner of a connection is told
 * @head: the head of a message is complete
 * @body: a piece of its body
 * @end: the message is complete; a server's side must call jl_conn_next()
 * @drained: the output backlog fell below the low mark, after being above it
 * @closed: the connection has ended by itself and is freed after this call
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
 * JL_ACCEPT_FN - a connection was accepted
 *
 * The callee sets its owner with jl_conn_own().
 */
#define JL_ACCEPT_FN(name) void (*name) (void *context, struct jl_conn *conn)

/**
 * struct jl_net_counters - what all connections of a process have done
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
 * jl_net_new - the connections of one process
 */
struct jl_net *jl_net_new (struct jl_loop *loop);

/**
 * jl_net_limits - what a server's side allows its clients
 * @head_bytes: largest head
 * @head_timeout_us: from the first byte of a head to its end
 * @idle_timeout_us: between two messages
 */
void jl_net_limits (struct jl_net *net,
                    size_t head_bytes,
                    uint64_t head_timeout_us,
                    uint64_t idle_timeout_us);

const struct jl_net_counters *jl_net_counters (const struct jl_net *net);

/**
 * jl_net_open - number of connections that are open
 */
unsigned jl_net_open (const struct jl_net *net);

/**
 * jl_net_sweep - closes connections that were idle or slow for too long
 *
 * To be called about twice a second.
 */
void jl_net_sweep (struct jl_net *net);

/**
 * jl_net_listen - accepts connections at @endpoint
 *
 * Return: false when the port cannot be had; @why receives the reason.
 */
bool jl_net_listen (struct jl_net *net,
                    struct jl_endpoint endpoint,
                    JL_ACCEPT_FN (accept),
                    void *context,
                    const char **why);

/**
 * jl_conn_connect - begins to connect; output may be written at once
 * @ops: of the owner, told of the answers
 */
struct jl_conn *jl_conn_connect (struct jl_net *net,
                                 struct jl_endpoint endpoint,
                                 const struct jl_conn_ops *ops,
                                 void *context);

/**
 * jl_conn_own - sets who is told of what happens
 */
void jl_conn_own (struct jl_conn *conn,
                  const struct jl_conn_ops *ops,
                  void *context);

/**
 * jl_conn_head - the head of the message being read
 */
struct jl_head *jl_conn_head (struct jl_conn *conn);

/**
 * jl_conn_peer - the address of the other side
 */
struct jl_endpoint jl_conn_peer (const struct jl_conn *conn);

/**
 * jl_conn_expect - a client's side is about to write a request
 * @no_body: its answer has no body, as with HEAD
 */
void jl_conn_expect (struct jl_conn *conn, bool no_body);

void jl_conn_write (struct jl_conn *conn, const char *data, size_t size);
void jl_conn_print (struct jl_conn *conn, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * jl_conn_chunk - writes a piece of a body in chunks; size 0 ends the body
 */
void jl_conn_chunk (struct jl_conn *conn, const char *data, size_t size);

/**
 * jl_conn_backlog - bytes written and not yet taken by the kernel
 */
size_t jl_conn_backlog (const struct jl_conn *conn);

/**
 * jl_conn_untouched - whether no byte since jl_conn_expect() has left the
 * process, so that the peer cannot have seen the request
 */
bool jl_conn_untouched (const struct jl_conn *conn);

/**
 * jl_conn_dirty - whether input lies beyond the message that ended
 */
bool jl_conn_dirty (const struct jl_conn *conn);

/**
 * jl_conn_hold - stops (or goes on) reading, so that a fast sender waits
 */
void jl_conn_hold (struct jl_conn *conn, bool hold);

/**
 * jl_conn_next - the message that ended is dealt with; reads the next one
 */
void jl_conn_next (struct jl_conn *conn);

/**
 * jl_conn_finish - closes after the output is out; the owner hears no more
 */
void jl_conn_finish (struct jl_conn *conn);

/**
 * jl_conn_abort - closes at once; the owner hears no more
 */
void jl_conn_abort (struct jl_conn *conn);

/**
 * jl_conn_set_idle_timeout - in place of what jl_net_limits() says
 */
void jl_conn_set_idle_timeout (struct jl_conn *conn, uint64_t idle_timeout_us);

/* Output backlog above which whoever fills it should be held. */
#define JL_CONN_HIGH_BYTES 65536
/* Backlog at which it goes on. */
#define JL_CONN_LOW_BYTES 16384

#endif
