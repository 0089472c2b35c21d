#ifndef JACKDAWLADDER_PROXY_H
#define JACKDAWLADDER_PROXY_H

/**
 * DOC: The proxy: one process with one thread beside each target instance.
 *
 * As an entry it takes requests of clients and of its own target, and sends
 * each to the daemon of a target. As a guard it is the only way to its own
 * target. Everything that its parts share is in struct jl_proxy.
 */

#include "jackdawladder/record.h"
#include "jackdawladder/request.h"
#include "jackdawladder/upstream.h"
#include "policy/budget.h"
#include "policy/failure-rate.h"
#include "policy/lane.h"
#include "policy/load-shedder.h"
#include "proxy/options.h"
#include "proxy/plan.h"

#include "store.h"

/* Routes of clients and of the own target whose demand is tracked. */
#define JL_DEMAND_MAX 32
/* Services whose retry budget is tracked. */
#define JL_BUDGET_MAX 32
/* Services that the own target calls. */
#define JL_OVERFLOW_MAX 16
/* Buckets of a latency histogram; bucket i ends at 2^i ms. */
#define JL_HISTOGRAM_BUCKETS 16

/**
 * struct jl_histogram - how long something took
 */
struct jl_histogram
{
  uint64_t buckets[JL_HISTOGRAM_BUCKETS];
  uint64_t count;
  uint64_t sum_us;
};

/**
 * struct jl_proxy_counters - for the metrics page
 */
struct jl_proxy_counters
{
  uint64_t requests;
  uint64_t calls;
  uint64_t served;
  uint64_t refused;
  uint64_t failed;
  uint64_t left;
  uint64_t placed_again;
  uint64_t other_zone;
  uint64_t work;
  uint64_t work_refused;
  uint64_t work_lost;
  uint64_t answers_dropped;
  uint64_t beacons_in;
  uint64_t beacons_out;
  struct jl_histogram request_time;
  struct jl_histogram lane_time;
  struct jl_histogram target_time;
};

/**
 * struct jl_service_budget - retry budget of one service
 */
struct jl_service_budget
{
  char service[JL_TEXT_SIZE];
  struct jl_retry_budget budget;
};

struct jl_beacon;
struct jl_sync;

/**
 * struct jl_proxy - the process
 * @site: configuration in force, NULL before there is one
 * @site_text: the text that it was read from
 * @planned_us: when the plans of @demands were made
 * @call_routes: keys of the routes that carry calls of the own target
 * @overflows: by service that the own target calls
 * @calls: requests in progress here as an entry
 * @works: requests in progress here as a guard
 * @ticks: control windows so far
 * @epoch: wall clock at the start, in microseconds; tells lives apart
 * @started_us: monotonic clock at the start
 * @left_waiting: announcements of a leaving, unanswered until that is written
 * @left_edition: of the lives that have left, as last given to the store
 * @left_written: the store has them
 * @stopping: a planned stop has begun
 * @guard_closed: it has come so far that the own target gets no more work
 */
struct jl_proxy
{
  struct jl_loop *loop;
  struct jl_net *net;
  struct jl_options *options;
  const char *options_path;
  struct jl_pool *peers;
  struct jl_pool *own;
  struct jl_store *store;
  struct jl_beacon *beacon;
  struct jl_site *site;
  char *site_text;
  size_t site_size;
  struct jl_roster roster;
  struct jl_member *self;
  struct jl_target target;
  struct jl_lane lane;
  struct jl_load_shedder pressure;
  struct jl_failure_rate failing;
  struct jl_fanout fanout;
  unsigned demand_count;
  struct jl_demand demands[JL_DEMAND_MAX];
  uint64_t planned_us;
  unsigned call_route_count;
  uint32_t call_routes[JL_ARRIVAL_ROUTES_MAX];
  unsigned overflow_count;
  struct jl_overflow overflows[JL_OVERFLOW_MAX];
  unsigned budget_count;
  struct jl_service_budget budgets[JL_BUDGET_MAX];
  struct cds_list_head calls;
  struct cds_list_head works;
  struct jl_server *entry;
  struct jl_server *guard;
  struct jl_server *ready;
  struct jl_server *announce;
  struct jl_server *metrics;
  struct jl_timer lane_timer;
  struct jl_timer control_timer;
  struct jl_timer sweep_timer;
  struct jl_timer stop_timer;
  struct jl_timer reload_timer;
  struct jl_timer left_timer;
  GPtrArray *left_waiting;
  unsigned left_edition;
  bool left_written;
  struct jl_sync *sync;
  uv_signal_t signals[3];
  unsigned ticks;
  uint64_t epoch;
  uint64_t started_us;
  uint64_t stop_since_us;
  bool stopping;
  bool guard_closed;
  int exit_status;
  struct jl_proxy_counters counters;
};

/* proxy.c */

/**
 * jl_proxy_new - opens all sockets and begins to serve
 *
 * Return: NULL when a port cannot be had; that is logged.
 */
struct jl_proxy *jl_proxy_new (struct jl_options *options, const char *path);

/**
 * jl_proxy_run - serves until a planned stop has ended
 *
 * Return: the exit status.
 */
int jl_proxy_run (struct jl_proxy *proxy);

/**
 * jl_proxy_target_changed - the belief about the own target has changed
 */
void jl_proxy_target_changed (struct jl_proxy *proxy, const char *cause);

/**
 * jl_proxy_install - puts a configuration in force if it is newer
 * @source: where it came from, for the log
 */
void jl_proxy_install (struct jl_proxy *proxy,
                       const char *text,
                       size_t size,
                       const char *source);

/**
 * jl_proxy_service - service of the own target
 */
const char *jl_proxy_service (const struct jl_proxy *proxy);

/**
 * jl_proxy_ready - whether clients should come
 */
bool jl_proxy_ready (const struct jl_proxy *proxy);

/**
 * jl_proxy_is_ending - whether a request taken now could be cut off by the end
 * of a planned stop
 */
bool jl_proxy_is_ending (const struct jl_proxy *proxy);

void jl_histogram_add (struct jl_histogram *histogram, uint64_t time_us);

/* entry.c */

extern const struct jl_handler jl_entry_handler;

/**
 * jl_entry_check_members - requests sent to a daemon that is not heard any
 * more go elsewhere if they may be repeated
 */
void jl_entry_check_members (struct jl_proxy *proxy);

/* guard.c */

extern const struct jl_handler jl_guard_handler;

/**
 * jl_guard_pump - lets waiting work run, hands back what cannot end in time
 */
void jl_guard_pump (struct jl_proxy *proxy);

/**
 * jl_guard_refuse_waiting - the target takes no more work
 */
void jl_guard_refuse_waiting (struct jl_proxy *proxy, const char *reason);

/* pages.c */

extern const struct jl_handler jl_ready_handler;
extern const struct jl_handler jl_announce_handler;
extern const struct jl_handler jl_metrics_handler;

/**
 * jl_pages_left_written - the store has acknowledged that the target leaves
 */
void jl_pages_left_written (struct jl_proxy *proxy);

/* sync.c */

/**
 * jl_proxy_site_behind - @member has a newer configuration: asks it for that,
 * unless it comes from the store meanwhile
 */
void jl_proxy_site_behind (struct jl_proxy *proxy, struct jl_member *member);

/**
 * jl_sync_answer - gives the own configuration to another daemon
 */
void jl_sync_answer (struct jl_proxy *proxy, struct jl_request *request);

/* Path at which daemons ask each other for their configuration. */
#define JL_SYNC_PATH "/jl/site"

/* beacon.c */

struct jl_beacon *jl_beacon_new (struct jl_proxy *proxy, const char **why);

/**
 * jl_beacon_soon - tells the others now, since something has changed
 */
void jl_beacon_soon (struct jl_beacon *beacon);

/* headers.c */

/**
 * struct jl_work_line - what an entry tells a guard, in one header field
 * @service: service that is to run the request
 * @rank: importance
 * @left_ms: time left
 * @goal_ms: time within which the answer earns its full worth
 * @route: the route's key
 * @repeatable: whether the request may run more than once
 */
struct jl_work_line
{
  char service[JL_TEXT_SIZE];
  unsigned rank;
  unsigned left_ms;
  unsigned goal_ms;
  uint32_t route;
  bool repeatable;
};

/* The header field that carries a struct jl_work_line. */
#define JL_WORK_FIELD "Jl-Work"
/* In a guard's own answers: "not-run" or "unknown". */
#define JL_OUTCOME_FIELD "Jl-Outcome"
/* In a guard's own answers: why. */
#define JL_REASON_FIELD "Jl-Reason"

/**
 * jl_headers_to_guard - a request's head as an entry sends it on
 */
GString *jl_headers_to_guard (const struct jl_head *head,
                              const struct jl_work_line *work,
                              const char *caller);

/**
 * jl_headers_to_target - a request's head as a guard sends it on
 */
GString *jl_headers_to_target (const struct jl_head *head,
                               unsigned left_ms,
                               const char *target);

/**
 * jl_headers_work - reads the field of an entry
 */
bool jl_headers_work (const struct jl_head *head, struct jl_work_line *work);

/**
 * jl_headers_back - an answer's field lines as they are passed back
 */
GString *jl_headers_back (const struct jl_head *head);

#endif
