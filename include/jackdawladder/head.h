#ifndef JACKDAWLADDER_HEAD_H
#define JACKDAWLADDER_HEAD_H

/**
 * DOC: The head of an HTTP/1.1 message: its first line and its fields.
 */

#include "jackdawladder/base.h"

#define JL_METHOD_SIZE 16

/**
 * struct jl_field - offsets of one header field in the text of its head
 */
struct jl_field
{
  uint32_t name;
  uint32_t value;
};

/**
 * struct jl_head - a message's head as it was read
 * @method: of a request
 * @status: of an answer, 0 for a request
 * @keep_alive: whether the connection can be used again after the message
 * @chunked: the body comes in chunks
 * @has_length: the body has @length bytes
 * @until_close: an answer's body ends with its connection
 * @text: the request's target, the names and the values, each zero-terminated
 * @target: offset of the request's target in @text
 * @fields: of struct jl_field
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

void jl_head_init (struct jl_head *head);
void jl_head_clear (struct jl_head *head);

/**
 * jl_head_reset - empties a head for the next message
 */
void jl_head_reset (struct jl_head *head);

/**
 * jl_head_copy - makes @to the same as @from
 */
void jl_head_copy (struct jl_head *to, const struct jl_head *from);

/**
 * jl_head_target - the request's target, as sent
 */
const char *jl_head_target (const struct jl_head *head);

/**
 * jl_head_name - name of field number @index
 */
const char *jl_head_name (const struct jl_head *head, size_t index);

/**
 * jl_head_value - value of field number @index
 */
const char *jl_head_value (const struct jl_head *head, size_t index);

/**
 * jl_head_get - value of the first field called @name, without regard to case
 *
 * Return: NULL when there is none.
 */
const char *jl_head_get (const struct jl_head *head, const char *name);

/**
 * jl_head_number - value of a field that is a whole number
 *
 * Return: false when there is no such field or it is no number below 2^53.
 */
bool
jl_head_number (const struct jl_head *head, const char *name, uint64_t *number);

/**
 * jl_head_is_hop - whether field number @index concerns one connection only
 *
 * True for the framing of the body as well, which each connection does anew.
 */
bool jl_head_is_hop (const struct jl_head *head, size_t index);

/**
 * jl_head_bytes - memory that the head takes
 */
size_t jl_head_bytes (const struct jl_head *head);

#endif
