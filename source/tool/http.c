/**
 * DOC: HTTP requests of the tool to daemons.
 */

#include <string.h>

#include "tool/tool.h"

/* Maximum size of a response body. */
#define RESPONSE_MAX_BYTES (UINT64_C (64) << 20)

#define HTTP_STATUS_OK 200

/* Maps the result of a request to an exit status; @body becomes the error. */
static enum tool_exit
get_exit_status (enum jl_http_result result, uint32_t status, GString *body)
{
  if (result == JL_HTTP_COMPLETED && status == HTTP_STATUS_OK)
    return TOOL_OK;
  if (result == JL_HTTP_COMPLETED)
    {
      g_strchomp (body->str);
      g_string_set_size (body, strlen (body->str));
      g_string_append_printf (body, " (status %u)", status);
      return TOOL_REFUSED;
    }
  if (result == JL_HTTP_NOT_SENT)
    {
      g_string_assign (body, "cannot be reached");
      return TOOL_UNREACHABLE;
    }
  g_string_assign (body, "no complete response");
  return TOOL_UNKNOWN;
}

enum tool_exit
tool_send (const struct tool *tool,
           struct jl_endpoint daemon,
           const char *method,
           const char *path,
           const struct jl_http_message *request,
           struct jl_http_message *response)
{
  struct jl_http_call call
      = { .endpoint = daemon,
          .method = method,
          .target = path,
          .request = request,
          .timeout_us = tool->timeout_ms * JL_USEC_PER_MSEC,
          .response_max_bytes = RESPONSE_MAX_BYTES };
  uint32_t status = 0;
  enum jl_http_result result
      = jl_http_perform (tool->pool, &call, &status, response);

  return get_exit_status (result, status, response->body);
}

static enum tool_exit
send_empty (const struct tool *tool,
            struct jl_endpoint daemon,
            const char *method,
            const char *path,
            struct jl_http_message *response)
{
  struct jl_http_message request;
  enum tool_exit status;

  jl_http_message_init (&request);
  status = tool_send (tool, daemon, method, path, &request, response);
  jl_http_message_clear (&request);
  return status;
}

enum tool_exit
tool_get (const struct tool *tool,
          struct jl_endpoint daemon,
          const char *path,
          struct jl_http_message *response)
{
  return send_empty (tool, daemon, "GET", path, response);
}

enum tool_exit
tool_post (const struct tool *tool,
           struct jl_endpoint daemon,
           const char *path,
           struct jl_http_message *response)
{
  return send_empty (tool, daemon, "POST", path, response);
}
