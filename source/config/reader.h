#ifndef JACKDAWLADDER_CONFIG_READER_H
#define JACKDAWLADDER_CONFIG_READER_H

/**
 * DOC: Reads JSON documents into structures.
 *
 * The first failure is kept, with the path of its value; later ones are
 * dropped. So a caller reads all fields and asks once at the end.
 */

#include "jackdawladder/config.h"

#include <json-c/json.h>

/**
 * struct jl_reader - reads one document
 * @prefix: path of the object or list item being read, empty at the top
 * @error: the first failure, NULL while there is none
 */
struct jl_reader
{
  char prefix[64];
  GError *error;
};

/**
 * jl_reader_parse - reads the text of a document, an object at the top
 *
 * Return: to be freed with json_object_put(), or NULL after a failure.
 */
struct json_object *
jl_reader_parse (struct jl_reader *reader, const char *text, size_t size);

/**
 * jl_reader_finish - hands over the failure, if there was any
 *
 * Return: whether there was none.
 */
bool jl_reader_finish (struct jl_reader *reader, GError **error);

/**
 * jl_reader_fail - notes a failure
 * @key: of the value in the current object; NULL for the object itself
 */
void jl_reader_fail (struct jl_reader *reader,
                     const char *key,
                     enum jl_config_error code,
                     const char *format,
                     ...) G_GNUC_PRINTF (4, 5);

/**
 * jl_reader_enter - makes an item of a list the current object
 */
void jl_reader_enter (struct jl_reader *reader, const char *list, size_t index);

/**
 * jl_reader_enter_object - makes an object below the top the current one
 */
void jl_reader_enter_object (struct jl_reader *reader, const char *key);

/**
 * jl_reader_leave - makes the top the current object
 */
void jl_reader_leave (struct jl_reader *reader);

/**
 * jl_read_keys - refuses all keys of @object but @keys
 * @keys: ends with NULL
 *
 * Return: false when @object is no object either.
 */
bool jl_read_keys (struct jl_reader *reader,
                   struct json_object *object,
                   const char *const *keys);

bool jl_read_has (struct json_object *object, const char *key);

/**
 * jl_read_number - an integer that must be there
 */
uint64_t jl_read_number (struct jl_reader *reader,
                         struct json_object *object,
                         const char *key,
                         int64_t low,
                         int64_t high);

/**
 * jl_read_number_or - an integer, @otherwise when it is not given
 */
uint64_t jl_read_number_or (struct jl_reader *reader,
                            struct json_object *object,
                            const char *key,
                            int64_t low,
                            int64_t high,
                            uint64_t otherwise);

bool jl_read_boolean (struct jl_reader *reader,
                      struct json_object *object,
                      const char *key);

/**
 * jl_read_text - printable ASCII without spaces
 * @object: an object, or the string itself when @key is NULL
 * @text: receives it; @size bytes with the final zero
 */
void jl_read_text (struct jl_reader *reader,
                   struct json_object *object,
                   const char *key,
                   char *text,
                   size_t size);

/**
 * jl_read_name - lower-case letters, digits and dashes
 * @name: JL_NAME_SIZE bytes
 */
void jl_read_name (struct jl_reader *reader,
                   struct json_object *object,
                   const char *key,
                   char *name);

/**
 * jl_read_endpoint - "a.b.c.d:port"
 */
void jl_read_endpoint (struct jl_reader *reader,
                       struct json_object *object,
                       const char *key,
                       struct jl_endpoint *endpoint);

/**
 * jl_read_list - a list that must be there
 * @count: receives its length, 0 after a failure
 */
struct json_object *jl_read_list (struct jl_reader *reader,
                                  struct json_object *object,
                                  const char *key,
                                  size_t low,
                                  size_t high,
                                  uint32_t *count);

#endif
