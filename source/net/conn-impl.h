#ifndef JACKDAWLADDER_CONN_IMPL_H
#define JACKDAWLADDER_CONN_IMPL_H

/**
 * DOC: What the parts of the connection module share.
 */

#include "jackdawladder/conn.h"

#include <http_parser.h>
#include <urcu/list.h>

/* Bytes taken from a socket at a time. */
#define READ_SIZE 65536

/**
 * struct jl_net - all connections of a process
 * @conns: every open connection
 * @dirty: connections with output to flush
 * @buffer: where all of them read to
 */
struct jl_net
{
  struct jl_loop *loop;
  struct cds_list_head conns;
  struct cds_list_head dirty;
  unsigned open;
  size_t head_bytes;
  uint64_t head_timeout_us;
  uint64_t idle_timeout_us;
  struct jl_net_counters counters;
  char buffer[READ_SIZE];
};

/**
 * struct jl_conn - one connection
 * @is_client: this process connected
 * @connecting: not established yet
 * @waiting: a whole message was read; what follows is held back
 * @in_head: part of a head was read
 * @in_body: a head was read and its message has not ended
 * @no_body: the answer has no body, whatever its head says
 * @held: not reading, since the owner cannot take more
 * @over_high: the owner is owed a call to drained()
 * @finishing: closes once the output is out
 * @shut: the output side was shut down
 * @closing: libuv is closing it; the owner hears no more
 * @touched: a byte written since jl_conn_expect() has left the process
 * @head_since: when the first byte of the head being read came
 * @read_at: when a byte was read last
 * @wrote_at: when output made progress last
 * @idle_timeout_us: 0 for that of the net
 * @out: output not given to the kernel yet
 * @sending: output that libuv holds
 * @stash: input that came while @waiting
 */
struct jl_conn
{
  uv_tcp_t tcp;
  struct jl_net *net;
  const struct jl_conn_ops *ops;
  void *context;
  struct cds_list_head link;
  struct cds_list_head dirty_link;
  http_parser parser;
  struct jl_head head;
  struct jl_endpoint peer;
  bool is_client;
  bool connecting;
  bool waiting;
  bool in_head;
  bool in_body;
  bool in_value;
  bool no_body;
  bool held;
  bool reading;
  bool over_high;
  bool finishing;
  bool shut;
  bool closing;
  bool dirty;
  bool touched;
  uint64_t head_since;
  uint64_t read_at;
  uint64_t wrote_at;
  uint64_t idle_timeout_us;
  GByteArray *out;
  GByteArray *sending;
  GByteArray *stash;
  uv_write_t write;
  uv_shutdown_t shutdown;
  uv_connect_t connect;
};

/* parse.c */

/**
 * jl_conn_parse_init - readies the parser for the next message
 */
void jl_conn_parse_init (struct jl_conn *conn);

/**
 * jl_conn_parse - reads @size bytes, 0 for the end of the input
 */
void jl_conn_parse (struct jl_conn *conn, const char *data, size_t size);

/* conn.c */

/**
 * jl_conn_fail - the connection has ended: tells the owner and closes
 */
void jl_conn_fail (struct jl_conn *conn, enum jl_conn_error error);

#endif
