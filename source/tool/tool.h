#ifndef JACKDAWLADDER_TOOL_H
#define JACKDAWLADDER_TOOL_H

/**
 * DOC: What the commands of the operators' tool share.
 */

#include "jackdawladder/config.h"
#include "jackdawladder/http.h"

#define TOOL_DAEMON_MAX 64

/**
 * enum tool_exit - exit statuses, documented in --help
 * @TOOL_OK: done
 * @TOOL_REFUSED: the document is invalid, or the other side refused
 * @TOOL_USAGE: wrong command line
 * @TOOL_CONFLICT: another apply came first
 * @TOOL_UNREACHABLE: certainly not done
 * @TOOL_UNKNOWN: it may have been done
 */
enum tool_exit
{
  TOOL_OK = 0,
  TOOL_REFUSED = 1,
  TOOL_USAGE = 2,
  TOOL_CONFLICT = 3,
  TOOL_UNREACHABLE = 4,
  TOOL_UNKNOWN = 5,
};

/**
 * struct tool - one run of the tool
 * @file: argument of the command, or NULL
 * @daemons: local ports of daemons
 * @json: print results as JSON, one object a line
 * @base: with @has_base, the version that an apply is to follow
 */
struct tool
{
  const char *command;
  const char *file;
  bool json;
  bool has_base;
  bool has_platform;
  struct jl_endpoint platform;
  uint32_t daemon_count;
  struct jl_endpoint daemons[TOOL_DAEMON_MAX];
  uint64_t base;
  uint32_t timeout_ms;
  struct jl_http_pool *pool;
};

enum tool_exit tool_check (struct tool *tool);
enum tool_exit tool_apply (struct tool *tool);
enum tool_exit tool_show (struct tool *tool);
enum tool_exit tool_status (struct tool *tool);
enum tool_exit tool_dump (struct tool *tool);
enum tool_exit tool_drain (struct tool *tool);

/**
 * tool_fail - says on stderr, and as JSON if asked for, why a command failed
 *
 * Return: @status.
 */
enum tool_exit
tool_fail (const struct tool *tool, enum tool_exit status, const char *why);

/**
 * tool_send - sends a request to a daemon and waits for its answer
 * @request: headers and body
 * @answer: initialized; its body is the reason after a failure
 *
 * Return: TOOL_OK for an answer of status 200.
 */
enum tool_exit tool_send (const struct tool *tool,
                          struct jl_endpoint daemon,
                          const char *method,
                          const char *path,
                          const struct jl_http_message *request,
                          struct jl_http_message *answer);

/**
 * tool_get - tool_send() of a GET without headers
 */
enum tool_exit tool_get (const struct tool *tool,
                         struct jl_endpoint daemon,
                         const char *path,
                         struct jl_http_message *answer);

/**
 * tool_post - tool_send() of a POST without headers or body
 */
enum tool_exit tool_post (const struct tool *tool,
                          struct jl_endpoint daemon,
                          const char *path,
                          struct jl_http_message *answer);

#endif
