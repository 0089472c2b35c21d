#ifndef JACKDAWLADDER_CONFIG_READER_H
#define JACKDAWLADDER_CONFIG_READER_H

/**
 * DOC: Reads values of JSON documents into structures.
 *
 * A reader keeps the first error, with the path of the value, and discards any
 * later one. A caller can thus read all values and check for an error once,
 * with jl_reader_finish().
 */

#include "jackdawladder/config.h"

#include <json-c/json.h>

/**
 * struct jl_reader - state of reading a document
 * @prefix: path of the current object or list item, empty for the document
 * @error: the first error, or NULL
 */
struct jl_reader
{
  char prefix[64];
  GError *error;
};

/**
 * jl_reader_parse - parses a document, whose top-level value must be an object
 * @text: @size bytes
 *
 * Return: the document, to be freed with json_object_put(), or NULL on error.
 */
struct json_object *
jl_reader_parse (struct jl_reader *reader, const char *text, size_t size);

/**
 * jl_reader_finish - moves the error of @reader, if any, to @error
 *
 * Return: whether there was no error.
 */
bool jl_reader_finish (struct jl_reader *reader, GError **error);

/**
 * jl_reader_fail - records an error, unless there is an earlier one
 * @key: key of the invalid value; NULL for the current object itself
 * @format: printf() format of the message that follows the path
 */
void jl_reader_fail (struct jl_reader *reader,
                     const char *key,
                     enum jl_config_error code,
                     const char *format,
                     ...) G_GNUC_PRINTF (4, 5);

/**
 * jl_reader_enter_item - makes item @index of @list the current object
 */
void
jl_reader_enter_item (struct jl_reader *reader, const char *list, size_t index);

/**
 * jl_reader_enter_object - makes the object at @key the current object
 */
void jl_reader_enter_object (struct jl_reader *reader, const char *key);

/**
 * jl_reader_leave - makes the document the current object
 */
void jl_reader_leave (struct jl_reader *reader);

/**
 * jl_read_check_keys - rejects unknown keys of @object
 * @keys: the known keys, terminated by NULL
 *
 * Return: false only if @object is not a JSON object. An unknown key sets the
 * error of @reader.
 */
bool jl_read_check_keys (struct jl_reader *reader,
                         struct json_object *object,
                         const char *const *keys);

/**
 * jl_read_has_key - whether @object has a value at @key
 */
bool jl_read_has_key (struct json_object *object, const char *key);

/**
 * jl_read_number - reads a required integer
 * @low: smallest valid value
 * @high: largest valid value
 *
 * Return: the integer, or 0 on error.
 */
uint64_t jl_read_number (struct jl_reader *reader,
                         struct json_object *object,
                         const char *key,
                         int64_t low,
                         int64_t high);

/**
 * jl_read_number_default - reads an optional integer
 *
 * Return: the integer, @default_value if @key is absent, or 0 on error.
 */
uint64_t jl_read_number_default (struct jl_reader *reader,
                                 struct json_object *object,
                                 const char *key,
                                 int64_t low,
                                 int64_t high,
                                 uint64_t default_value);

/**
 * jl_read_boolean - reads a required boolean
 *
 * Return: the boolean, or false on error.
 */
bool jl_read_boolean (struct jl_reader *reader,
                      struct json_object *object,
                      const char *key);

/**
 * jl_read_text - reads a required string of printable ASCII without spaces
 * @object: an object, or the string itself if @key is NULL
 * @text: buffer of @size bytes for the string and its terminating NUL; set to
 *        the empty string on error
 */
void jl_read_text (struct jl_reader *reader,
                   struct json_object *object,
                   const char *key,
                   char *text,
                   size_t size);

/**
 * jl_read_name - reads a required name of lower-case letters, digits and dashes
 * @name: buffer of JL_NAME_SIZE bytes
 */
void jl_read_name (struct jl_reader *reader,
                   struct json_object *object,
                   const char *key,
                   char *name);

/**
 * jl_read_endpoint - reads a required string of the form "a.b.c.d:port"
 */
void jl_read_endpoint (struct jl_reader *reader,
                       struct json_object *object,
                       const char *key,
                       struct jl_endpoint *endpoint);

/**
 * jl_read_list - reads a required list
 * @low: smallest valid length
 * @high: largest valid length
 * @count: receives the length, 0 on error
 *
 * Return: the list, which belongs to @object, or NULL on error.
 */
struct json_object *jl_read_list (struct jl_reader *reader,
                                  struct json_object *object,
                                  const char *key,
                                  size_t low,
                                  size_t high,
                                  uint32_t *count);

#endif
