#ifndef JACKDAWLADDER_BASE_H
#define JACKDAWLADDER_BASE_H

/**
 * DOC: Basic types shared by all modules.
 *
 * Times are unsigned 64-bit microseconds of the monotonic clock of this
 * process. They are never compared with times of another process.
 */

#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#define JL_USEC_PER_MSEC UINT64_C (1000)
#define JL_USEC_PER_SEC UINT64_C (1000000)

/* Maximum number of importance classes; class 0 is the most important. */
#define JL_CLASS_MAX 8
/* Number of priorities within one importance class. */
#define JL_SAMPLE_COUNT 128
/*
 * Number of priorities. A priority is class * JL_SAMPLE_COUNT + sample; a lower
 * value is more important.
 */
#define JL_PRIORITY_COUNT (JL_CLASS_MAX * JL_SAMPLE_COUNT)
/* Maximum number of services in a configuration. */
#define JL_SERVICE_MAX 64
/* Maximum number of request kinds in a configuration. */
#define JL_KIND_MAX 256
/*
 * Buffer size in bytes of a service, kind, class, zone, region or daemon name,
 * including the terminating NUL.
 */
#define JL_NAME_SIZE 48

/* Index that refers to no entry, such as an unknown kind or service. */
#define JL_NONE UINT32_MAX

/**
 * enum jl_outcome - execution status of a request
 * @JL_OUTCOME_DONE: the request ran and its response is complete
 * @JL_OUTCOME_NOT_RUN: the request did not run and will never run
 * @JL_OUTCOME_UNKNOWN: the request may have run
 */
enum jl_outcome
{
  JL_OUTCOME_DONE,
  JL_OUTCOME_NOT_RUN,
  JL_OUTCOME_UNKNOWN,
};

/**
 * enum jl_reason - why a request has no response from its target
 * @JL_REASON_NONE: the target responded
 * @JL_REASON_NO_CONFIG: the daemon has no configuration yet
 * @JL_REASON_NO_KIND: no kind of the configuration matches the request
 * @JL_REASON_NO_TARGET: no target of the service is available
 * @JL_REASON_OVERLOAD: the request was shed because its target is overloaded
 * @JL_REASON_DOWNSTREAM: a service further down the call tree would shed it
 * @JL_REASON_DEADLINE: the deadline passed, or would pass in the queue
 * @JL_REASON_DRAINING: the daemon or its target is draining
 * @JL_REASON_POISON: requests with this content are suspected of crashing
 *                    targets
 * @JL_REASON_TARGET_LOST: the target failed while the request was in progress
 * @JL_REASON_TIMEOUT: no complete response arrived in time
 * @JL_REASON_CANCELLED: the caller no longer waits for the response
 * @JL_REASON_TOO_LARGE: the request or response body exceeds its limit
 * @JL_REASON_HOME_LOST: the daemon that issued the ticket is gone or restarted
 * @JL_REASON_PLATFORM: the platform's table gave no result in time
 * @JL_REASON_IN_PROGRESS: another request with the same ticket is in progress
 * @JL_REASON_DUPLICATE: an earlier request with the same ticket may have run
 * @JL_REASON_KEY_REUSED: the ticket was used before with other content
 * @JL_REASON_NO_TOKENS: reserved; no code produces it
 * @JL_REASON_MALFORMED: the request is malformed
 * @JL_REASON_COUNT: number of reasons
 *
 * Reasons are sent to other daemons and to callers by name, see
 * jl_reason_name().
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
 * struct jl_identity - identifies one run of a daemon process
 * @member: address and control port, see jl_member_id()
 * @epoch: wall clock at process start in microseconds; a restart of the daemon
 *         has a higher epoch
 */
struct jl_identity
{
  uint64_t member;
  uint64_t epoch;
};

/**
 * struct jl_attempt_id - globally unique identifier of one attempt of a call
 * @origin: the daemon that makes the attempt
 * @number: sequence number, assigned by @origin
 */
struct jl_attempt_id
{
  struct jl_identity origin;
  uint64_t number;
};

/**
 * struct jl_ticket - permission to execute a request at most once
 * @issuer: the only daemon that may permit the execution
 * @number: sequence number, assigned by @issuer; 0 means no ticket
 * @branch: 0 for the root request, else a hash of its path in the call tree
 */
struct jl_ticket
{
  struct jl_identity issuer;
  uint64_t number;
  uint64_t branch;
};

/**
 * jl_member_id - returns the member identifier of a control endpoint
 */
uint64_t jl_member_id (struct jl_endpoint control);

/**
 * jl_member_endpoint - returns the control endpoint of a member identifier
 */
struct jl_endpoint jl_member_endpoint (uint64_t member);

/**
 * jl_endpoint_parse - parses "a.b.c.d:port"
 * @endpoint: receives the endpoint; unchanged on failure
 *
 * Return: false if @text has another form or the port is 0.
 */
bool jl_endpoint_parse (const char *text, struct jl_endpoint *endpoint);

/**
 * jl_endpoint_format - formats an endpoint as "a.b.c.d:port"
 * @text: buffer of at least JL_ENDPOINT_TEXT_SIZE bytes
 */
#define JL_ENDPOINT_TEXT_SIZE 24
void jl_endpoint_format (struct jl_endpoint endpoint, char *text);

bool jl_endpoint_equal (struct jl_endpoint a, struct jl_endpoint b);
bool jl_identity_equal (struct jl_identity a, struct jl_identity b);
bool jl_attempt_id_equal (struct jl_attempt_id a, struct jl_attempt_id b);
bool jl_ticket_equal (struct jl_ticket a, struct jl_ticket b);

/**
 * jl_attempt_id_format - formats an identifier as three hexadecimal numbers
 *                        separated by dashes
 * @text: buffer of at least JL_ID_TEXT_SIZE bytes
 */
#define JL_ID_TEXT_SIZE 72
void jl_attempt_id_format (struct jl_attempt_id id, char *text);

/**
 * jl_attempt_id_parse - parses the form of jl_attempt_id_format()
 *
 * Return: false if @text has another form; @id is then unchanged.
 */
bool jl_attempt_id_parse (const char *text, struct jl_attempt_id *id);

/**
 * jl_ticket_format - formats a ticket as "jl-" and four hexadecimal numbers
 *                    separated by dashes
 * @text: buffer of at least JL_ID_TEXT_SIZE bytes
 */
void jl_ticket_format (struct jl_ticket ticket, char *text);

/**
 * jl_ticket_parse - parses the form of jl_ticket_format()
 *
 * Return: false if @text has another form; @ticket is then unchanged.
 */
bool jl_ticket_parse (const char *text, struct jl_ticket *ticket);

/**
 * jl_outcome_name - returns "done", "not-run" or "unknown"
 */
const char *jl_outcome_name (enum jl_outcome outcome);

/**
 * jl_outcome_parse - parses a name of jl_outcome_name()
 *
 * Return: false if no outcome has this name.
 */
bool jl_outcome_parse (const char *name, enum jl_outcome *outcome);

/**
 * jl_reason_name - returns the name of a reason, such as "target-lost"
 */
const char *jl_reason_name (enum jl_reason reason);

/**
 * jl_reason_parse - parses a name of jl_reason_name()
 *
 * Return: false if no reason has this name.
 */
bool jl_reason_parse (const char *name, enum jl_reason *reason);

/**
 * jl_now - returns the monotonic clock in microseconds
 *
 * It also counts the time for which the machine is suspended, in which others
 * go on: what was known before is that much older, and deadlines come nearer.
 *
 * Only the I/O threads call this; the core takes the time from its events.
 */
uint64_t jl_now (void);

/**
 * jl_word_escape - returns a text as one word
 *
 * '%' and all bytes that are no visible ASCII are written as "%XX", so that the
 * word can stand between spaces in a log line or in a header field.
 *
 * Return: the word, to be freed with g_free().
 */
char *jl_word_escape (const char *text);

/**
 * jl_word_unescape - returns the text that jl_word_escape() has made a word of
 *
 * Return: the text, to be freed with g_free(); NULL if @word is malformed.
 */
char *jl_word_unescape (const char *word);

/**
 * jl_wipe - overwrites memory that has held secrets, before it is freed
 * @data: may be NULL if @size is 0
 */
static inline void
jl_wipe (void *data, size_t size)
{
  if (size > 0)
    explicit_bzero (data, size);
}

#endif
