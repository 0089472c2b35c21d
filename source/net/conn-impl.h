#ifndef JACKDAWLADDER_CONN_IMPL_H
#define JACKDAWLADDER_CONN_IMPL_H

/**
 * DOC: Internal declarations of the connection module.
 */

#include "jackdawladder/conn.h"

#include <http_parser.h>
#include <urcu/list.h>

/* Maximum number of bytes read from a socket at once. */
#define READ_BUFFER_BYTES 16384

/**
 * enum jl_line_kind - which line of a message is being read
 * @JL_LINE_START: the request line or status line
 * @JL_LINE_FIELD: a field of the head, or of the trailers of a chunked body
 * @JL_LINE_CHUNK_SIZE: the size of a chunk
 * @JL_LINE_CHUNK_END: the end of a chunk's line, after its data
 * @JL_LINE_NONE: a body that is not chunked
 */
enum jl_line_kind
{
  JL_LINE_START,
  JL_LINE_FIELD,
  JL_LINE_CHUNK_SIZE,
  JL_LINE_CHUNK_END,
  JL_LINE_NONE,
};

/**
 * struct jl_lines - position in the lines of a message
 * @is_request: the message is a request
 * @at_begin: no byte of the line's text was read
 * @after_cr: the last byte was CR
 * @after_start: the line follows the request line or status line
 * @chunk_left: bytes of a chunk's data that precede the line
 */
struct jl_lines
{
  enum jl_line_kind kind;
  bool is_request;
  bool at_begin;
  bool after_cr;
  bool after_start;
  uint64_t chunk_left;
};

/**
 * struct jl_net - state shared by all connections of the process
 * @conns: the open connections
 * @flush_queue: connections whose output must be flushed before the next poll
 * @unread: accepted connections that are not read, whose end is looked for
 * @unread_timer: runs while there are any
 * @open_count: number of entries of @conns
 * @head_bytes_max: maximum size of the head of a message
 * @head_timeout_us: maximum time from the first byte of a request head to its
 *                   end
 * @idle_timeout_us: maximum time without input between two requests
 * @read_buffer: receives the input of every connection in turn
 */
struct jl_net
{
  struct jl_loop *loop;
  struct cds_list_head conns;
  struct cds_list_head flush_queue;
  struct cds_list_head unread;
  struct jl_timer unread_timer;
  unsigned open_count;
  size_t head_bytes_max;
  uint64_t head_timeout_us;
  uint64_t idle_timeout_us;
  struct jl_net_counters counters;
  char read_buffer[READ_BUFFER_BYTES];
};

/**
 * struct jl_conn - one connection
 * @link: link in the list of open connections
 * @flush_link: link in the flush queue, valid if @flush_queued
 * @unread_link: link in the list of connections that are not read, valid if
 *               @is_unread
 * @lines: position in the lines of the message that is being read
 * @head: the message head that is being read
 * @is_client: this process opened the connection
 * @connecting: the connection is not yet established
 * @message_complete: no further input is parsed until jl_conn_read_next() or
 *                    jl_conn_start_request()
 * @in_head: part of a head was read
 * @in_body: a head was read, but the message has not ended
 * @in_field_value: the last part of the head that was read is a field value
 * @no_body: the response has no body, regardless of its head
 * @read_paused: the owner has paused reading
 * @reading: libuv reads from the socket
 * @above_high_water: the backlog exceeded JL_CONN_HIGH_WATER_BYTES, and the
 *                    drained callback has not been called since
 * @closing_after_flush: the connection closes when its output is flushed; the
 *                       owner receives no further callbacks
 * @output_shut: the output direction was shut down
 * @closing: libuv is closing the handle; the owner receives no further
 *           callbacks
 * @flush_queued: the connection is in the flush queue
 * @any_sent: output was passed to the kernel since jl_conn_start_request()
 * @head_began_us: time at which the first byte of the current head was read
 * @last_read_us: time of the last input
 * @last_write_us: time at which output last made progress
 * @awaits_ack: the peer may have to acknowledge output
 * @unacked_since_us: time of the first such output
 * @idle_timeout_us: idle timeout of this connection; 0 selects that of @net
 * @marks: marks of the owners, @mark_count of them
 * @output: output not yet passed to the kernel or to libuv
 * @uv_output: output passed to libuv and not yet written
 * @pending_input: input that arrived after the message that is complete
 */
struct jl_conn
{
  uv_tcp_t tcp;
  struct jl_net *net;
  const struct jl_conn_ops *ops;
  void *context;
  struct cds_list_head link;
  struct cds_list_head flush_link;
  struct cds_list_head unread_link;
  bool is_unread;
  http_parser parser;
  struct jl_lines lines;
  struct jl_head head;
  struct jl_endpoint peer;
  bool is_client;
  bool connecting;
  bool message_complete;
  bool in_head;
  bool in_body;
  bool in_field_value;
  bool no_body;
  bool read_paused;
  bool reading;
  bool above_high_water;
  bool closing_after_flush;
  bool output_shut;
  bool closing;
  bool flush_queued;
  bool any_sent;
  unsigned interim_count;
  uint64_t head_began_us;
  uint64_t last_read_us;
  uint64_t last_write_us;
  bool awaits_ack;
  uint64_t unacked_since_us;
  uint64_t idle_timeout_us;
  uint64_t marks[JL_CONN_MARKS_MAX];
  unsigned mark_count;
  GByteArray *output;
  GByteArray *uv_output;
  GByteArray *pending_input;
  uv_write_t write_request;
  uv_shutdown_t shutdown_request;
  uv_connect_t connect_request;
};

/* lines.c */

/**
 * jl_lines_init - starts with the first line of a message
 */
void jl_lines_init (struct jl_lines *lines, bool is_request);

/**
 * jl_lines_begin_body - continues after the head of a message with a body
 */
void jl_lines_begin_body (struct jl_lines *lines, bool chunked);

/**
 * jl_lines_begin_chunk - continues after the size of a chunk
 * @size: size of the chunk's data; 0 if trailers follow
 */
void jl_lines_begin_chunk (struct jl_lines *lines, uint64_t size);

/**
 * jl_lines_take - checks the next part of a message, up to the end of a line
 *
 * Return: size of the part, 0 if it is malformed.
 */
size_t jl_lines_take (struct jl_lines *lines, const char *data, size_t size);

/* parse.c */

/**
 * jl_conn_parse_init - resets the parser for the next message
 */
void jl_conn_parse_init (struct jl_conn *conn);

/**
 * jl_conn_parse - parses input and calls the owner's callbacks
 * @size: size of @data in bytes; 0 signals the end of the input
 */
void jl_conn_parse (struct jl_conn *conn, const char *data, size_t size);

/* peer-lost.c */

/**
 * struct jl_ack_state - what the kernel knows of a peer's acknowledgements
 * @unacked: output is on its way that the peer has not acknowledged
 * @unanswered: transmissions or window probes since the last acknowledgement of
 *              output, or of anything if nothing is on its way
 * @interval_us: time from the last of them to the next one
 * @waited_us: time for which output has been waiting
 * @quiet_us: time since the last acknowledgement of any kind
 */
struct jl_ack_state
{
  bool unacked;
  unsigned unanswered;
  uint64_t interval_us;
  uint64_t waited_us;
  uint64_t quiet_us;
};

/**
 * jl_ack_is_overdue - whether a peer that is alive would have acknowledged
 * something by now
 */
bool jl_ack_is_overdue (const struct jl_ack_state *state);

/**
 * jl_conn_expect_ack - notes that output is passed to the kernel
 */
void jl_conn_expect_ack (struct jl_conn *conn);

/**
 * jl_conn_is_peer_lost - whether the peer of a connection with output seems to
 * be gone, as it acknowledges nothing
 */
bool jl_conn_is_peer_lost (struct jl_conn *conn, uint64_t now_us);

/**
 * jl_conn_has_unacked_output - whether the kernel has output that the peer has
 * not acknowledged
 */
bool jl_conn_has_unacked_output (const struct jl_conn *conn);

/**
 * jl_conn_has_peer_ended - whether the peer has closed or reset the connection,
 * also if input is left to be read
 */
bool jl_conn_has_peer_ended (const struct jl_conn *conn);

/**
 * jl_conn_ended_in_order - whether the peer has ended a connection of which the
 * end of the input was read, after it had received all output
 *
 * A peer that closes while output is on its way resets the connection for it,
 * maybe a moment later. Its input may break off anywhere.
 */
bool jl_conn_ended_in_order (const struct jl_conn *conn);

/* conn.c */

/**
 * jl_conn_fail - reports the end of a connection to its owner and closes it
 *
 * After a parse error, a response that the owner wrote meanwhile is flushed
 * before the connection closes.
 */
void jl_conn_fail (struct jl_conn *conn, enum jl_conn_error error);

#endif
