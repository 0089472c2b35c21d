/**
 * DOC: Requests of the tool to daemons.
 */

#include <string.h>

#include "tool/tool.h"

/* Largest answer in bytes that is taken. */
#define ANSWER_MAX (UINT64_C (64) << 20)

#define STATUS_OK 200

static enum tool_exit
judge (enum jl_http_result result, uint32_t status, GString *why)
{
  if (result == JL_HTTP_COMPLETED && status == STATUS_OK)
    return TOOL_OK;
  if (result == JL_HTTP_COMPLETED)
    {
      g_strchomp (why->str);
      g_string_set_size (why, strlen (why->str));
      g_string_append_printf (why, " (status %u)", status);
      return TOOL_REFUSED;
    }
  if (result == JL_HTTP_NOT_SENT)
    {
      g_string_assign (why, "cannot be reached");
      return TOOL_UNREACHABLE;
    }
  g_string_assign (why, "no whole answer");
  return TOOL_UNKNOWN;
}

enum tool_exit
tool_send (const struct tool *tool,
           struct jl_endpoint daemon,
           const char *method,
           const char *path,
           const struct jl_http_message *request,
           struct jl_http_message *answer)
{
  struct jl_http_call call
      = { .endpoint = daemon,
          .method = method,
          .target = path,
          .request = request,
          .timeout_us = tool->timeout_ms * JL_USEC_PER_MSEC,
          .response_max_bytes = ANSWER_MAX };
  uint32_t status = 0;
  enum jl_http_result result
      = jl_http_perform (tool->pool, &call, &status, answer);

  return judge (result, status, answer->body);
}

static enum tool_exit
send_empty (const struct tool *tool,
            struct jl_endpoint daemon,
            const char *method,
            const char *path,
            struct jl_http_message *answer)
{
  struct jl_http_message request;
  enum tool_exit status;

  jl_http_message_init (&request);
  status = tool_send (tool, daemon, method, path, &request, answer);
  jl_http_message_clear (&request);
  return status;
}

enum tool_exit
tool_get (const struct tool *tool,
          struct jl_endpoint daemon,
          const char *path,
          struct jl_http_message *answer)
{
  return send_empty (tool, daemon, "GET", path, answer);
}

enum tool_exit
tool_post (const struct tool *tool,
           struct jl_endpoint daemon,
           const char *path,
           struct jl_http_message *answer)
{
  return send_empty (tool, daemon, "POST", path, answer);
}
