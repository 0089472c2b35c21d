#ifndef JACKDAWLADDER_HEAD_H
#define JACKDAWLADDER_HEAD_H

/**
 * DOC: The head of an HTTP/1.1 message: its start line and its header fields.
 */

#include "jackdawladder/base.h"

/* Buffer size of a request method, in bytes with the terminating zero. */
#define JL_METHOD_SIZE 16

/**
 * struct jl_field - offsets of one header field in the text of its head
 * @name: offset of the name in bytes
 * @value: offset of the value in bytes
 */
struct jl_field
{
  uint32_t name;
  uint32_t value;
};

/**
 * struct jl_head - the parsed head of a message
 * @method: request method; empty for a response
 * @status: status code of a response; 0 for a request
 * @keep_alive: the connection can be reused after the message
 * @chunked: the body uses chunked transfer coding
 * @has_length: the body length is given by @length
 * @until_close: the body of a response ends when the connection is closed
 * @length: value of Content-Length in bytes, 0 if there is none
 * @text: the request target, field names and field values, each zero-terminated
 * @target: offset of the request target in @text
 * @fields: array of struct jl_field
 */
struct jl_head
{
  char method[JL_METHOD_SIZE];
  unsigned status;
  bool keep_alive;
  bool chunked;
  bool has_length;
  bool until_close;
  uint64_t length;
  GString *text;
  uint32_t target;
  GArray *fields;
};

/**
 * jl_head_init - initializes an empty head
 */
void jl_head_init (struct jl_head *head);

/**
 * jl_head_clear - frees the memory held by a head
 */
void jl_head_clear (struct jl_head *head);

/**
 * jl_head_reset - empties a head so that it can be reused for the next message
 */
void jl_head_reset (struct jl_head *head);

/**
 * jl_head_append_text - appends to the text of a head
 *
 * Heads hold API keys. Their memory is overwritten before it is freed or
 * reused, as it may be in a core file.
 */
void jl_head_append_text (struct jl_head *head, const char *data, size_t size);

/**
 * jl_head_copy - copies the contents of @from to @to, which must be initialized
 */
void jl_head_copy (struct jl_head *to, const struct jl_head *from);

/**
 * jl_head_target - returns the request target as received
 */
const char *jl_head_target (const struct jl_head *head);

/**
 * jl_head_name - returns the name of the field at @index
 */
const char *jl_head_name (const struct jl_head *head, size_t index);

/**
 * jl_head_value - returns the value of the field at @index
 */
const char *jl_head_value (const struct jl_head *head, size_t index);

/**
 * jl_head_get - returns the value of the first field named @name
 *
 * The comparison of names ignores case.
 *
 * Return: NULL if the head has no such field.
 */
const char *jl_head_get (const struct jl_head *head, const char *name);

/**
 * jl_head_count - returns the number of fields named @name
 */
unsigned jl_head_count (const struct jl_head *head, const char *name);

/**
 * jl_head_get_number - reads the value of a field as an unsigned integer
 *
 * Return: false if there is no such field or its value is not an integer
 * between 0 and 2^53.
 */
bool jl_head_get_number (const struct jl_head *head,
                         const char *name,
                         uint64_t *number);

/**
 * jl_head_get_idle_timeout - reads the time after which the peer closes the
 * connection if it stays idle
 * @timeout_us: receives it
 *
 * Return: false if the field Keep-Alive names none.
 */
bool jl_head_get_idle_timeout (const struct jl_head *head,
                               uint64_t *timeout_us);

/**
 * jl_head_is_hop_by_hop - whether the field at @index must not be forwarded
 *
 * True for the hop-by-hop fields, including those that the Connection field
 * lists, and also for Content-Length and Expect, since each connection frames
 * the body itself.
 */
bool jl_head_is_hop_by_hop (const struct jl_head *head, size_t index);

/**
 * jl_head_memory_bytes - returns the size of the text and fields of a head
 */
size_t jl_head_memory_bytes (const struct jl_head *head);

#endif
