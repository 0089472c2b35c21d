#ifndef JACKDAWLADDER_BASE_H
#define JACKDAWLADDER_BASE_H

/**
 * DOC: Types that every module shares.
 *
 * Times are unsigned 64-bit microseconds of the monotonic clock of the own
 * process. No time of another process is ever compared with them.
 */

#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define JL_USEC_PER_MSEC UINT64_C (1000)
#define JL_USEC_PER_SEC UINT64_C (1000000)

/* Importance classes in a configuration; class 0 is the most important. */
#define JL_CLASS_MAX 8
/* Sampling values within one class. */
#define JL_SAMPLE_COUNT 128
/* A priority is class * JL_SAMPLE_COUNT + sample; lower is more important. */
#define JL_PRIORITY_COUNT (JL_CLASS_MAX * JL_SAMPLE_COUNT)
/* Services in a configuration. */
#define JL_SERVICE_MAX 64
/* Kinds of request in a configuration. */
#define JL_KIND_MAX 256
/* Bytes of a name (service, kind, zone, member), with the final zero. */
#define JL_NAME_SIZE 48

#define JL_NONE UINT32_MAX

/**
 * enum jl_outcome - what became of a request
 * @JL_OUTCOME_DONE: it ran, and the answer is whole
 * @JL_OUTCOME_NOT_RUN: it ran nowhere and will run nowhere
 * @JL_OUTCOME_UNKNOWN: it may have run
 */
enum jl_outcome
{
  JL_OUTCOME_DONE,
  JL_OUTCOME_NOT_RUN,
  JL_OUTCOME_UNKNOWN,
};

/**
 * enum jl_reason - why a request was not answered by its target
 *
 * Sent between daemons and to callers by name, see jl_reason_name().
 */
enum jl_reason
{
  JL_REASON_NONE,
  JL_REASON_NO_CONFIG,
  JL_REASON_NO_KIND,
  JL_REASON_NO_TARGET,
  JL_REASON_OVERLOAD,
  JL_REASON_DOWNSTREAM,
  JL_REASON_DEADLINE,
  JL_REASON_DRAINING,
  JL_REASON_POISON,
  JL_REASON_TARGET_LOST,
  JL_REASON_TIMEOUT,
  JL_REASON_CANCELLED,
  JL_REASON_TOO_LARGE,
  JL_REASON_HOME_LOST,
  JL_REASON_PLATFORM,
  JL_REASON_IN_PROGRESS,
  JL_REASON_DUPLICATE,
  JL_REASON_KEY_REUSED,
  JL_REASON_NO_TOKENS,
  JL_REASON_MALFORMED,
  JL_REASON_COUNT,
};

/**
 * struct jl_endpoint - an IPv4 address and port, both in host byte order
 */
struct jl_endpoint
{
  uint32_t ip;
  uint16_t port;
};

/**
 * struct jl_identity - one life of one daemon
 * @member: address and control port, see jl_member_id()
 * @epoch: wall clock at its start in microseconds; a later life is higher
 */
struct jl_identity
{
  uint64_t member;
  uint64_t epoch;
};

/**
 * struct jl_attempt_id - one sending of one call, unique for ever
 * @origin: the daemon that sends it
 * @number: counted by that daemon
 */
struct jl_attempt_id
{
  struct jl_identity origin;
  uint64_t number;
};

/**
 * struct jl_ticket - permission for at most one run
 * @minter: the only daemon that may grant the run
 * @number: counted by the minter; 0 means no ticket
 * @branch: 0 for a request, else a hash of the path down the call tree
 */
struct jl_ticket
{
  struct jl_identity minter;
  uint64_t number;
  uint64_t branch;
};

/**
 * jl_member_id - identifier of the daemon at a control endpoint
 */
uint64_t jl_member_id (struct jl_endpoint control);

/**
 * jl_member_endpoint - control endpoint of a member identifier
 */
struct jl_endpoint jl_member_endpoint (uint64_t member);

/**
 * jl_endpoint_parse - reads "a.b.c.d:port"
 *
 * Return: false if @text is anything else.
 */
bool jl_endpoint_parse (const char *text, struct jl_endpoint *endpoint);

/**
 * jl_endpoint_format - writes "a.b.c.d:port"
 * @text: at least JL_ENDPOINT_TEXT_SIZE bytes
 */
#define JL_ENDPOINT_TEXT_SIZE 24
void jl_endpoint_format (struct jl_endpoint endpoint, char *text);

bool jl_identity_equal (struct jl_identity a, struct jl_identity b);
bool jl_attempt_id_equal (struct jl_attempt_id a, struct jl_attempt_id b);
bool jl_ticket_equal (struct jl_ticket a, struct jl_ticket b);

/**
 * jl_attempt_id_format - writes three hexadecimal numbers with dashes
 * @text: at least JL_ID_TEXT_SIZE bytes
 */
#define JL_ID_TEXT_SIZE 72
void jl_attempt_id_format (struct jl_attempt_id id, char *text);
bool jl_attempt_id_parse (const char *text, struct jl_attempt_id *id);

/**
 * jl_ticket_format - writes "jl-" and four hexadecimal numbers with dashes
 * @text: at least JL_ID_TEXT_SIZE bytes
 */
void jl_ticket_format (struct jl_ticket ticket, char *text);
bool jl_ticket_parse (const char *text, struct jl_ticket *ticket);

/**
 * jl_outcome_name - "done", "not-run" or "unknown"
 */
const char *jl_outcome_name (enum jl_outcome outcome);
bool jl_outcome_parse (const char *name, enum jl_outcome *outcome);

/**
 * jl_reason_name - lower-case name with dashes, such as "overload"
 */
const char *jl_reason_name (enum jl_reason reason);
bool jl_reason_parse (const char *name, enum jl_reason *reason);

/**
 * jl_now - the monotonic clock in microseconds
 *
 * For the threads at the edge only; the reducer takes time from its events.
 */
uint64_t jl_now (void);

#endif
