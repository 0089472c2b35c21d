#ifndef JACKDAWLADDER_TOOL_H
#define JACKDAWLADDER_TOOL_H

/**
 * DOC: Declarations shared by the commands of the command-line tool.
 */

#include "jackdawladder/config.h"
#include "jackdawladder/http.h"

/* Maximum number of --daemon options. */
#define TOOL_DAEMON_MAX 64

/**
 * enum tool_exit - exit statuses, documented in --help
 * @TOOL_OK: the command succeeded
 * @TOOL_REFUSED: the document is invalid, or the server rejected the request
 * @TOOL_USAGE: invalid command line
 * @TOOL_CONFLICT: another apply changed the version in force first
 * @TOOL_UNREACHABLE: the server could not be reached; the command had no effect
 * @TOOL_UNKNOWN: no complete response arrived; the command may have had effect
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
 * struct tool - command line and state of the tool
 * @command: name of the command
 * @file: argument of the command, or NULL
 * @json: whether to print results as JSON, one object per line
 * @has_base: whether @base is set
 * @has_platform: whether @platform is set
 * @platform: endpoint of the platform's table service
 * @daemons: local ports of the daemons
 * @base: version in force that an apply has to replace
 * @timeout_ms: timeout of each request
 * @pool: HTTP connections
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
 * tool_fail - prints an error message on stderr, and on stdout with --json
 *
 * Return: @status.
 */
enum tool_exit
tool_fail (const struct tool *tool, enum tool_exit status, const char *message);

/**
 * tool_send - sends a request to a daemon and waits for its response
 * @request: headers and body
 * @response: initialized message; on failure its body is an error message
 *
 * Return: TOOL_OK for a response with status 200.
 */
enum tool_exit tool_send (const struct tool *tool,
                          struct jl_endpoint daemon,
                          const char *method,
                          const char *path,
                          const struct jl_http_message *request,
                          struct jl_http_message *response);

/**
 * tool_get - sends a GET request without headers, see tool_send()
 */
enum tool_exit tool_get (const struct tool *tool,
                         struct jl_endpoint daemon,
                         const char *path,
                         struct jl_http_message *response);

/**
 * tool_post - sends a POST request without headers or body, see tool_send()
 */
enum tool_exit tool_post (const struct tool *tool,
                          struct jl_endpoint daemon,
                          const char *path,
                          struct jl_http_message *response);

#endif
