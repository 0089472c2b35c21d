#ifndef JACKDAWLADDER_PROXY_H
#define JACKDAWLADDER_PROXY_H

/**
 * DOC: The proxy: one process with one thread beside each target instance.
 *
 * The entry accepts requests from clients and from the local target,
 * and forwards each request to the daemon of a target. The guard is the only
 * path to the local target. All modules of the proxy share struct jl_proxy.
 */

#include "jackdawladder/record.h"
#include "jackdawladder/request.h"
#include "jackdawladder/upstream.h"
#include "policy/api-key.h"
#include "policy/budget.h"
#include "policy/failure-rate.h"
#include "policy/fair-share.h"
#include "policy/hold-time.h"
#include "policy/lane.h"
#include "policy/leave-ack.h"
#include "policy/lineage.h"
#include "policy/load-shedder.h"
#include "policy/suspect.h"
#include "proxy/notice.h"
#include "proxy/options.h"
#include "proxy/plan.h"
#include "proxy/refused.h"

#include "store.h"

/* Maximum number of routes whose demand is tracked: routes of clients and of
 * the local target. */
#define JL_DEMAND_ROUTES_MAX 32
/* Maximum number of services whose retry budget is tracked. */
#define JL_BUDGET_SERVICES_MAX 32
/* Maximum number of services called by the local target that are tracked. */
#define JL_OVERFLOW_SERVICES_MAX 16
/* Number of buckets of a latency histogram; the upper bound of bucket i is
 * 2^i ms, and the last bucket also counts all longer times. */
#define JL_HISTOGRAM_BUCKETS 16

/**
 * struct jl_histogram - latency histogram
 * @buckets: number of samples in each bucket; not cumulative
 * @count: number of samples
 * @sum_us: sum of all samples
 */
struct jl_histogram
{
  uint64_t buckets[JL_HISTOGRAM_BUCKETS];
  uint64_t count;
  uint64_t sum_us;
};

/**
 * struct jl_proxy_counters - counters and histograms of the metrics page
 * @requests: requests received from clients
 * @calls: requests received from the local target
 * @served: requests whose response from a target was passed on completely
 * @refused: requests that were refused and have not run
 * @refused_by_share: those refused because their customer is above its share
 * @unauthorized: requests refused without an API key that the configuration
 *                knows
 * @identified: requests by the result of their identification, also on public
 *              routes
 * @failed: requests that may have run, passed their deadline or lost their
 *          response
 * @clients_left: requests whose client closed the connection before the
 *                response was complete
 * @placed_again: attempts to send a request to another daemon
 * @other_zone: requests sent to a daemon of another zone
 * @work: requests that the guard accepted for the local target's service
 * @work_refused: requests that the guard refused
 * @work_lost: requests sent to the local target for which the guard could not
 *             pass on a complete response
 * @runs_abandoned: runs that were ended as nobody waited for them any more
 * @runs_in_vain: runs at the local target that ended with a server error, or
 *                whose request was given up: the work was of no use
 * @responses_dropped: responses of the local target that belong to another
 *                     request
 * @targets_ended: ends of the local target that it had not announced
 * @strikes: strikes recorded against contents, also of other daemons
 * @trials: trials begun
 * @contents_cleared: suspect contents that were answered here
 * @requests_held: requests that waited for the result of a trial
 * @poison_refused: requests refused because of their content
 * @target_probes: connections opened to find whether the local target has ended
 * @store_restores: times that the store came back from an older copy
 * @store_checks: reads of the configuration because what was known of it was
 * too old
 * @beacons_received: datagrams received, including malformed ones
 * @beacons_sent: datagrams sent
 * @starts: requests that the local target received; this and the following
 *          members count only where load reports are on
 * @late_starts: those that had spent more than half of their latency goal
 * @moved: requests that the guard handed back
 * @spilled: requests sent to another zone that completes them sooner
 * @report_age: age of the load reports of the daemons that were chosen
 * @request_time: time from a request's arrival at the entry to the end of its
 *                response
 * @lane_time: time spent in the guard's queue
 * @target_time: time for which a request held a slot of the target
 */
struct jl_proxy_counters
{
  uint64_t requests;
  uint64_t calls;
  uint64_t served;
  uint64_t refused;
  uint64_t refused_by_share;
  uint64_t unauthorized;
  uint64_t identified[JL_IDENTITY_COUNT];
  uint64_t failed;
  uint64_t clients_left;
  uint64_t placed_again;
  uint64_t other_zone;
  uint64_t work;
  uint64_t work_refused;
  uint64_t work_lost;
  uint64_t runs_abandoned;
  uint64_t runs_in_vain;
  uint64_t responses_dropped;
  uint64_t targets_ended;
  uint64_t strikes;
  uint64_t trials;
  uint64_t contents_cleared;
  uint64_t requests_held;
  uint64_t poison_refused;
  uint64_t target_probes;
  uint64_t store_restores;
  uint64_t store_checks;
  uint64_t beacons_received;
  uint64_t beacons_sent;
  uint64_t starts;
  uint64_t late_starts;
  uint64_t moved;
  uint64_t spilled;
  struct jl_histogram report_age;
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

/**
 * struct jl_ranked_pool - demands of one rank that are short of a service
 * @service: interned
 */
struct jl_ranked_pool
{
  unsigned rank;
  const char *service;
  struct jl_fair_pool pool;
};

struct jl_beacon;
struct jl_digest_counters;
struct jl_freshness;
struct jl_infer;
struct jl_news;
struct jl_quota;
struct jl_spill_table;
struct jl_sync;
struct jl_watch;
struct jl_work;

/**
 * struct jl_learned - calls for each run as they were last written to the store
 * @written_us: time of that write, 0 for none
 */
struct jl_learned
{
  uint64_t written_us;
  unsigned written_count;
  struct jl_fanout_entry written[JL_MEMBER_FANOUT_MAX];
};

/**
 * struct jl_proxy - state of the process
 * @options_path: settings file, read again periodically, on SIGHUP and when a
 *                heartbeat does not match
 * @options_read_us: monotonic time at which it was last read
 * @peer_pool: connections to other daemons
 * @target_pool: connections to the local target
 * @site: configuration in force, NULL until the first one is installed
 * @previous_site: configuration before @site, NULL for none; names the
 * customers of revoked API keys in the log
 * @unauthorized_log_s: second in which a rejected API key was last logged
 * @unauthorized_lines: number of such lines in that second
 * @site_text: text of @site for other daemons; has no API keys
 * @site_size: size of @site_text in bytes
 * @self: this daemon in @roster
 * @watch: whether the local target has ended
 * @suspects: contents that are suspected of ending targets
 * @target_limit: limit that the local target has named in its responses
 * @refused: attempts that the local target has refused last
 * @trial_work: the trial in progress at the local target, NULL for none
 * @infer: requests that were lost at other daemons
 * @news: sender of reports on suspect contents
 * @lane: queue in front of the local target
 * @lineage: runs in progress at the local target, to find those of its calls
 * @demands: demand and admission plan of each route used by clients
 * @fair_share: recent demand of each customer, on sites with customers
 * @pools: demands whose customers compete for capacity in this window
 * @hold_times: times for which runs of each route hold a slot of the local
 *              target, on sites with customers
 * @plans_computed_us: monotonic time at which the plans of @demands were
 *                     computed
 * @call_routes: keys of the routes that carry calls of the local target
 * @overflows: overflow plan of each service that the local target calls
 * @spills: shares of routes that go to other zones, NULL before the first
 * @calls: requests in progress at the entry, of struct jl_call
 * @work_items: requests in progress at the guard, of struct jl_work
 * @leave_requests: leave announcements of the target that wait for their answer
 * @leave_asked_us: time of the first of them
 * @leave_tell_timeout_us: time for which their answers wait for other daemons
 * @leave_ack: the leave that was announced last
 * @held_timer: checks whether a held heartbeat is believed
 * @departed_revision_sent: value of the target's departed_revision that was
 *                          last handed to the store client
 * @departed_row_acknowledged: the store has acknowledged the latest row
 * @daemon_row_acknowledged: the store has acknowledged this daemon's own row
 * @own_row_found: the store had a row of this daemon's name before
 * @follows_store: this daemon follows the changes in the store
 * @follow_rank: number of daemons of the zone that come before this one in
 *               following them
 * @store_lost_us: time at which the store became reachable or unreachable
 * @refused_row_pending: this daemon's row of refused contents was written and
 * is not acknowledged yet
 * @freshness: age of what this daemon knows of the configuration in the store
 * @quota: usage caps of customers
 * @era_heard_from: daemon whose beacon named a new era of the store before the
 *                  store itself did, NULL for none
 * @window_count: number of control windows since the start
 * @epoch: wall clock at the start in microseconds; distinguishes incarnations
 *         of this daemon
 * @started_us: monotonic clock at the start
 * @stop_began_us: monotonic time at which the graceful shutdown began
 * @stop_requests: requests that had come until the last check of the shutdown
 * @stopping: a graceful shutdown has begun
 * @guard_closed: the graceful shutdown has progressed so far that the local
 *                target receives no further work
 */
struct jl_proxy
{
  struct jl_loop *loop;
  struct jl_net *net;
  struct jl_options *options;
  const char *options_path;
  uint64_t options_read_us;
  struct jl_pool *peer_pool;
  struct jl_pool *target_pool;
  struct jl_store *store;
  struct jl_beacon *beacon;
  struct jl_site *site;
  struct jl_site *previous_site;
  uint64_t unauthorized_log_s;
  unsigned unauthorized_lines;
  char *site_text;
  size_t site_size;
  struct jl_roster roster;
  struct jl_member *self;
  struct jl_target target;
  struct jl_target_limit target_limit;
  struct jl_refused refused;
  struct jl_watch *watch;
  struct jl_suspects suspects;
  struct jl_work *trial_work;
  struct jl_infer *infer;
  struct jl_news *news;
  struct jl_lane lane;
  struct jl_lineage lineage;
  struct jl_load_shedder load_shedder;
  struct jl_failure_rate failure_rate;
  struct jl_fanout fanout;
  struct jl_learned learned;
  unsigned demand_count;
  struct jl_demand demands[JL_DEMAND_ROUTES_MAX];
  struct jl_fair_share fair_share;
  unsigned pool_count;
  struct jl_ranked_pool pools[JL_DEMAND_ROUTES_MAX];
  struct jl_hold_times hold_times;
  uint64_t plans_computed_us;
  unsigned call_route_count;
  uint32_t call_routes[JL_ARRIVAL_ROUTES_MAX];
  unsigned overflow_count;
  struct jl_overflow overflows[JL_OVERFLOW_SERVICES_MAX];
  struct jl_spill_table *spills;
  unsigned budget_count;
  struct jl_service_budget budgets[JL_BUDGET_SERVICES_MAX];
  struct cds_list_head calls;
  struct cds_list_head work_items;
  struct jl_server *entry;
  struct jl_server *guard;
  struct jl_server *ready;
  struct jl_server *announce;
  struct jl_server *metrics;
  struct jl_timer queue_timer;
  struct jl_timer control_timer;
  struct jl_timer sweep_timer;
  struct jl_timer stop_timer;
  struct jl_timer reload_timer;
  struct jl_timer leave_timer;
  uint64_t leave_asked_us;
  uint64_t leave_tell_timeout_us;
  struct jl_leave_ack leave_ack;
  GPtrArray *leave_requests;
  struct jl_timer held_timer;
  unsigned departed_revision_sent;
  bool departed_row_acknowledged;
  bool daemon_row_acknowledged;
  bool own_row_found;
  bool follows_store;
  unsigned follow_rank;
  uint64_t store_lost_us;
  bool refused_row_pending;
  struct jl_freshness *freshness;
  struct jl_quota *quota;
  const struct jl_member *era_heard_from;
  struct jl_sync *sync;
  uv_signal_t signals[3];
  unsigned window_count;
  uint64_t epoch;
  uint64_t started_us;
  uint64_t stop_began_us;
  uint64_t stop_requests;
  bool stopping;
  bool guard_closed;
  int exit_status;
  struct jl_proxy_counters counters;
};

/* proxy.c */

/**
 * jl_proxy_hold_signals - lets the signals that a proxy handles wait
 *
 * Their default action ends a process, and they may come before a proxy can
 * handle them. jl_proxy_new() ends this.
 */
void jl_proxy_hold_signals (void);

/**
 * jl_proxy_new - opens all sockets and starts to serve
 * @path: settings file, for reloads
 *
 * Return: NULL if a socket cannot be opened, after logging the cause.
 */
struct jl_proxy *jl_proxy_new (struct jl_options *options, const char *path);

/**
 * jl_proxy_run - serves until a graceful shutdown has completed
 *
 * Return: the exit status of the process.
 */
int jl_proxy_run (struct jl_proxy *proxy);

/**
 * jl_proxy_update_self - copies the local state into this daemon's entry of the
 * roster, which beacons announce
 */
void jl_proxy_update_self (struct jl_proxy *proxy);

/**
 * jl_proxy_target_changed - applies a change of the local target's state,
 * identity or number of slots
 * @cause: what caused the change, for the log
 */
void jl_proxy_target_changed (struct jl_proxy *proxy, const char *cause);

/**
 * jl_proxy_limit_changed - applies a change of the local target's limit
 */
void jl_proxy_limit_changed (struct jl_proxy *proxy);

/**
 * jl_proxy_renew_settings - reads the settings file again, unless that was done
 * just now
 */
void jl_proxy_renew_settings (struct jl_proxy *proxy);

/**
 * jl_proxy_install - parses a configuration and installs it if its version is
 * higher than the installed one's
 * @source: "store" or the name of the daemon that sent it, for the log
 */
void jl_proxy_install (struct jl_proxy *proxy,
                       const char *text,
                       size_t size,
                       const char *source);

/**
 * jl_proxy_apply_limits - applies the limits of the configuration in force to
 * all connections
 */
void jl_proxy_apply_limits (struct jl_proxy *proxy);

/**
 * jl_proxy_service - returns the service of this instance, which the settings
 * name
 *
 * The text is valid until the settings change.
 */
const char *jl_proxy_service (const struct jl_proxy *proxy);

/**
 * jl_proxy_has_heard_others - whether another daemon has been heard, or there
 * was enough time for it since the start
 */
bool jl_proxy_has_heard_others (const struct jl_proxy *proxy);

/**
 * jl_proxy_is_ready - whether clients should send requests to this daemon
 */
bool jl_proxy_is_ready (const struct jl_proxy *proxy);

/**
 * jl_histogram_add - adds a sample of @time_us microseconds
 */
void jl_histogram_add (struct jl_histogram *histogram, uint64_t time_us);

/* stop.c */

/**
 * jl_proxy_begin_stop - begins a graceful shutdown
 *
 * The entry closes each connection after its response, so that clients
 * reconnect to other daemons.
 */
void jl_proxy_begin_stop (struct jl_proxy *proxy);

/**
 * jl_proxy_is_ending - whether a graceful shutdown may terminate the process
 * before a request accepted now has completed
 */
bool jl_proxy_is_ending (const struct jl_proxy *proxy);

/**
 * jl_proxy_lasts_until - whether requests may be in progress at @time_us
 *
 * A graceful shutdown answers what is in progress shortly before the end of the
 * grace period.
 */
bool jl_proxy_lasts_until (const struct jl_proxy *proxy, uint64_t time_us);

/* entry.c */

extern const struct jl_handler jl_entry_handler;

/**
 * jl_entry_check_members - sends the idempotent requests that are in progress
 * at daemons whose beacons are missing to other daemons, if there are any
 *
 * Missing beacons do not end a request: the daemon may live.
 */
void jl_entry_check_members (struct jl_proxy *proxy);

/**
 * jl_entry_end_all - answers all requests in progress whose response has not
 * begun, because the process is about to exit
 *
 * Return: whether any requests were in progress.
 */
bool jl_entry_end_all (struct jl_proxy *proxy);

/* guard.c, handback.c */

extern const struct jl_handler jl_guard_handler;

/**
 * jl_guard_run_queue - refuses queued work that cannot complete before its
 * deadline, and starts queued work while slots are free
 */
void jl_guard_run_queue (struct jl_proxy *proxy);

/**
 * jl_guard_refuse_waiting - refuses all queued work
 * @reason: value of the reason header field, and of the log
 */
void jl_guard_refuse_waiting (struct jl_proxy *proxy, const char *reason);

/* pages.c */

extern const struct jl_handler jl_ready_handler;
extern const struct jl_handler jl_metrics_handler;

/* heartbeats.c */

extern const struct jl_handler jl_announce_handler;

/**
 * jl_heartbeats_answer_leaves - responds to those pending leave announcements
 * whose answer is decided
 */
void jl_heartbeats_answer_leaves (struct jl_proxy *proxy);

/**
 * jl_heartbeats_note_leave - records a leave that the target with this
 * identifier has announced, also for the next incarnation of this daemon
 * @cause: how it was announced, for the log
 */
void jl_heartbeats_note_leave (struct jl_proxy *proxy,
                               const char *id,
                               const char *cause);

/**
 * jl_heartbeats_reinstate - makes the target with this identifier the own one
 * again if only another one's heartbeat had replaced it
 * @id: identifier that a target has named at the own target's address, NULL for
 *      none
 */
void jl_heartbeats_reinstate (struct jl_proxy *proxy, const char *id);

/**
 * jl_heartbeats_check_held - applies a held heartbeat of the target if it is
 * believed now; called when more is known of the time before this daemon's
 * start
 */
void jl_heartbeats_check_held (struct jl_proxy *proxy);

/* sync.c */

/**
 * jl_sync_fetch - requests the newer configuration of @member after a short
 * delay, unless the store delivers it in the meantime
 */
void jl_sync_fetch (struct jl_proxy *proxy, struct jl_member *member);

/**
 * jl_sync_reply - responds to another daemon's request for the configuration
 */
void jl_sync_reply (struct jl_proxy *proxy, struct jl_request *request);

/* Path at which daemons request the configuration from each other. */
#define JL_SITE_PATH "/jl/site"

/* beacon.c */

/**
 * jl_beacon_new - opens the UDP socket and starts to send beacons
 * @why: receives the reason of a failure
 *
 * Return: NULL if the socket cannot be bound.
 */
struct jl_beacon *jl_beacon_new (struct jl_proxy *proxy, const char **why);

/**
 * jl_beacon_send_soon - schedules beacons after a change of state
 */
void jl_beacon_send_soon (struct jl_beacon *beacon);

/**
 * jl_beacon_send_now - sends beacons, so that other daemons know of a leave
 * before it is acknowledged
 */
void jl_beacon_send_now (struct jl_beacon *beacon);

/**
 * jl_beacon_heard - acts on the version of the configuration that @sender uses,
 * and on the era of the store that it knows
 */
void jl_beacon_heard (struct jl_proxy *proxy,
                      struct jl_member *sender,
                      uint64_t site_version,
                      uint64_t store_era);

/**
 * jl_beacon_send_datagram - sends a datagram of another format to @peer
 */
void jl_beacon_send_datagram (struct jl_beacon *beacon,
                              struct jl_endpoint peer,
                              char *datagram,
                              size_t size);

/**
 * jl_beacon_send_to_zone - sends a datagram to all daemons of the local zone,
 * or of all others
 */
void jl_beacon_send_to_zone (struct jl_beacon *beacon,
                             bool local_zone,
                             char *datagram,
                             size_t size);

/**
 * jl_beacon_is_representative - whether this daemon represents its zone
 */
bool jl_beacon_is_representative (const struct jl_beacon *beacon);

/**
 * jl_beacon_digest_counters - returns the totals of digests
 */
const struct jl_digest_counters *
jl_beacon_digest_counters (const struct jl_beacon *beacon);

/* headers.c */

/**
 * struct jl_work_header - header field that an entry sends to a guard
 * @service: service that the request is for
 * @rank: importance, 0 is the highest; on a site with customers the customer's
 *        rank goes before the route's
 * @remaining_ms: time left until the deadline
 * @latency_goal_ms: target latency of the route
 * @route_key: key of the route
 * @idempotent: whether the request is idempotent
 * @trial: whether the request is a trial of a suspect content
 * @limited_key: key of the target's incarnation whose limit the entry knows, 0
 *               for none
 * @limit: that limit in requests a second
 * @has_customers: the site has customers, so that API keys are not passed on
 * @customer: name of the request's customer, NULL for none; sent as a header
 *            field of its own
 * @accepts_load: the entry asks for a load report
 * @moves_left: how often the guard may hand the request back
 * @guest: the request comes from another zone
 * @spent_ms: time since the request's arrival at the entry, 0 if not known
 *
 * Older daemons neither send nor read @trial and what follows it.
 */
struct jl_work_header
{
  char service[JL_TEXT_SIZE];
  unsigned rank;
  unsigned remaining_ms;
  unsigned latency_goal_ms;
  uint32_t route_key;
  bool idempotent;
  bool trial;
  uint32_t limited_key;
  double limit;
  bool has_customers;
  const char *customer;
  bool accepts_load;
  unsigned moves_left;
  bool guest;
  unsigned spent_ms;
};

/* Header field that carries a struct jl_work_header. */
#define JL_WORK_FIELD "Jl-Work"
/* Header field of responses that a guard generates itself: "not-run", or
 * "unknown" if the request may have run. */
#define JL_OUTCOME_FIELD "Jl-Outcome"
/* Header field of responses that a guard generates itself: the reason. */
#define JL_REASON_FIELD "Jl-Reason"

/**
 * jl_headers_to_guard - builds the head of a request that an entry forwards to
 * a guard
 * @caller: service of the local target
 */
GString *jl_headers_to_guard (const struct jl_head *head,
                              const struct jl_work_header *work,
                              const char *caller);

/**
 * jl_headers_to_target - builds the head of a request that a guard forwards to
 * its target
 * @remaining_ms: time left until the deadline
 *
 * On a site with customers, an API key is removed that an entry without the
 * newest configuration has passed on.
 */
GString *jl_headers_to_target (const struct jl_proxy *proxy,
                               const struct jl_head *head,
                               unsigned remaining_ms);

/**
 * jl_headers_read_work - parses the field JL_WORK_FIELD
 *
 * Return: false if the field is missing or malformed.
 */
bool jl_headers_read_work (const struct jl_head *head,
                           struct jl_work_header *work);

/**
 * jl_headers_promise_not_run - whether a response's status is one that clients
 * take for the promise that their request has not run
 */
bool jl_headers_promise_not_run (const struct jl_head *head);

/**
 * jl_headers_to_client - builds the header lines of a response that is passed
 * back, without internal and hop-by-hop fields
 */
GString *jl_headers_to_client (const struct jl_head *head);

#endif
