/**
 * DOC: Start, control windows and reload of the proxy.
 */

#include "proxy/proxy.h"

#include "decode.h"
#include "proxy/demand.h"
#include "proxy/freshness.h"
#include "proxy/hooks.h"
#include "proxy/infer.h"
#include "proxy/load-report.h"
#include "proxy/quota.h"
#include "proxy/report.h"
#include "proxy/rows.h"
#include "proxy/trial.h"
#include "proxy/watch.h"

#include <math.h>
#include <signal.h>
#include <string.h>

/* Maximum idle time of a reused connection to a daemon, and to the local
 * target.
 */
#define PEER_IDLE_MAX_US (20 * JL_USEC_PER_SEC)
#define TARGET_IDLE_MAX_US (5 * JL_USEC_PER_SEC)
/* Idle timeout of connections accepted from daemons, from the local target and
 * for readiness checks. It is longer than the times above, so that the client
 * side closes an idle connection first. */
#define SERVER_IDLE_TIMEOUT_US (60 * JL_USEC_PER_SEC)
/* Maximum number of idle connections to one daemon. */
#define PEER_IDLE_CONNECTIONS_MAX 64
/* Time for which requests may wait at a daemon without any response before idle
 * connections to it are not used. */
#define PEER_SILENCE_MAX_US (250 * JL_USEC_PER_MSEC)
/* Share of a target's slots that is left unused, as a target slows down when
 * nearly all slots are in use. */
#define SLOTS_RESERVED_RATIO 0.06
/* Period of checks for expired work in the queue and for the end of the target,
 * and of writes of the log. */
#define QUEUE_PERIOD_US (20 * JL_USEC_PER_MSEC)
/* Period of checks for idle connections. */
#define SWEEP_PERIOD_US (500 * JL_USEC_PER_MSEC)
/* Size of the fields that daemons add to the head of a request, which may be as
 * large as the configuration allows a client's. */
#define OWN_FIELDS_BYTES_MAX 1024
/* Period of checks for changed settings. */
#define RELOAD_PERIOD_US (2 * JL_USEC_PER_SEC)
/* Minimum time between two reads of the settings because of heartbeats. */
#define RENEW_GAP_US (100 * JL_USEC_PER_MSEC)
/* Time after the start at which a daemon becomes ready, and believes its
 * target, even if it receives no beacons of other daemons. */
#define ALONE_US (1500 * JL_USEC_PER_MSEC)
/* Number of control windows between two estimates of the call graph. */
#define FANOUT_PERIOD_WINDOWS 3
/* Two targets end before a content is suspect, since all that is in progress at
 * the end of one target would be otherwise; and two in trials before it is
 * refused, since a target may end during a trial for another reason. A content
 * that ends each second target that runs it has three answers in a row in one
 * of eight cases, and eight in one of 256. */
static const struct jl_suspect_limits suspect_limits = {
  .suspect_ends = 2,
  .refuse_trials = 2,
  .clear_answers = 3,
  .clear_answers_again = 8,
  .refuse_us = { 30 * JL_USEC_PER_SEC, 120 * JL_USEC_PER_SEC,
                 600 * JL_USEC_PER_SEC, 1800 * JL_USEC_PER_SEC },
  .strike_us = UINT64_MAX,
  .expiry_us = 3600 * JL_USEC_PER_SEC,
  .repeat_us = UINT64_MAX,
};

void
jl_histogram_add (struct jl_histogram *histogram, uint64_t time_us)
{
  unsigned bucket = 0;

  while (bucket + 1 < JL_HISTOGRAM_BUCKETS
         && time_us > (JL_USEC_PER_MSEC << bucket))
    bucket++;
  histogram->buckets[bucket]++;
  histogram->count++;
  histogram->sum_us += time_us;
}

const char *
jl_proxy_service (const struct jl_proxy *proxy)
{
  return proxy->options->service;
}

bool
jl_proxy_has_heard_others (const struct jl_proxy *proxy)
{
  uint64_t now_us = jl_now ();

  return jl_roster_alive_count (&proxy->roster, now_us) > 1
         || now_us > proxy->started_us + ALONE_US;
}

bool
jl_proxy_is_ready (const struct jl_proxy *proxy)
{
  return proxy->site != NULL && !proxy->stopping
         && jl_proxy_has_heard_others (proxy);
}

/* Returns the number of requests that may run at a target with @slots. */
static unsigned
lane_limit (unsigned slots)
{
  unsigned unused = (unsigned)ceil (slots * SLOTS_RESERVED_RATIO);

  return slots > unused ? slots - unused : 1;
}

void
jl_proxy_update_self (struct jl_proxy *proxy)
{
  struct jl_member *self = proxy->self;

  g_strlcpy (self->service, jl_proxy_service (proxy), JL_TEXT_SIZE);
  g_strlcpy (self->target, proxy->target.last.id, JL_TEXT_SIZE);
  self->target_key = jl_target_key (&proxy->target);
  self->state = proxy->target.state;
  self->departed = proxy->target.state == JL_TARGET_LEAVING;
  if (JL_TEST_DISABLED ("drain") && self->state == JL_TARGET_LEAVING)
    self->state = JL_TARGET_UP;
  if (proxy->guard_closed && self->state == JL_TARGET_UP)
    self->state = JL_TARGET_LEAVING;
  self->limit
      = jl_load_shedder_used_slots (&proxy->load_shedder, proxy->lane.limit);
  self->capacity
      = jl_load_shedder_capacity (&proxy->load_shedder, proxy->lane.limit);
  self->shed_share = proxy->load_shedder.shed_share;
  self->spare_share = proxy->load_shedder.spare_share;
  self->failure_rate = jl_failure_rate_get (&proxy->failure_rate);
  self->last_beacon_us = jl_now ();
  jl_load_report_update_self (proxy);
}

void
jl_proxy_limit_changed (struct jl_proxy *proxy)
{
  const struct jl_rate_limit *limit = &proxy->target_limit.rate;

  proxy->lane.rate = jl_rate_limit_rate (limit);
  proxy->load_shedder.rate_limit = proxy->lane.rate;
  jl_proxy_update_self (proxy);
}

void
jl_proxy_target_changed (struct jl_proxy *proxy, const char *cause)
{
  const struct jl_target *target = &proxy->target;
  char address[JL_ENDPOINT_TEXT_SIZE];

  jl_endpoint_format (target->last.address, address);
  jl_record (JL_RECORD_CHANGE, JL_RECORD_TARGET_CHANGED,
             "state=%s cause=%s target=%s service=%s slots=%u sequence=%" PRIu64
             " born=%" PRIu64 " running=%u address=%s own=%d settings=%s",
             jl_target_state_name (target->state), cause, target->last.id,
             target->last.service, target->last.slots, target->last.sequence,
             target->last.started_ms, proxy->lane.running, address,
             jl_endpoint_equal (target->last.address, proxy->options->target),
             proxy->options->service);
  proxy->lane.limit = lane_limit (target->last.slots);
  jl_notice_target_changed (proxy);
  if (target->state != JL_TARGET_UP)
    {
      jl_pool_close_endpoint (proxy->target_pool, proxy->options->target);
      jl_guard_refuse_waiting (
          proxy, target->state == JL_TARGET_LEAVING ? "draining" : "no-target");
    }
  jl_proxy_update_self (proxy);
  if (target->state == JL_TARGET_LEAVING)
    jl_beacon_send_now (proxy->beacon);
  else
    jl_beacon_send_soon (proxy->beacon);
  jl_guard_run_queue (proxy);
}

/* Logs each word of the configuration that is not known. */
static void
log_unknown_words (const struct jl_site *site)
{
  for (guint i = 0; i < site->unknown_words->len; i++)
    {
      char *word
          = g_strescape (g_ptr_array_index (site->unknown_words, i), NULL);

      jl_record (JL_RECORD_CHANGE, JL_RECORD_SITE_WORD_UNKNOWN,
                 "version=%" PRIx64 " word=\"%.60s\"", site->version, word);
      g_free (word);
    }
}

/* Logs each part of the configuration that could not be read. */
static void
log_unread_parts (const struct jl_site *site)
{
  for (guint i = 0; i < site->unread_parts->len; i++)
    jl_record (JL_RECORD_CHANGE, JL_RECORD_SITE_PART_UNREAD,
               "version=%" PRIx64 " part=\"%s\"", site->version,
               (const char *)g_ptr_array_index (site->unread_parts, i));
}

void
jl_proxy_apply_limits (struct jl_proxy *proxy)
{
  const struct jl_site *site = proxy->site;

  jl_net_set_limits (proxy->net, site->head_bytes_max + OWN_FIELDS_BYTES_MAX,
                     site->head_timeout_us, site->idle_timeout_us);
}

void
jl_proxy_install (struct jl_proxy *proxy,
                  const char *text,
                  size_t size,
                  const char *source)
{
  GError *error = NULL;
  struct jl_site *site = jl_platform_decode_site (text, size, &error);

  if (site == NULL)
    {
      jl_record (JL_RECORD_CHANGE, JL_RECORD_SITE_REFUSED,
                 "source=%s bytes=%zu cause=\"%s\"", source, size,
                 error->message);
      g_error_free (error);
      return;
    }
  if (proxy->site != NULL && site->version <= proxy->site->version)
    {
      jl_site_drop (site);
      return;
    }
  jl_record (JL_RECORD_CHANGE, JL_RECORD_SITE_INSTALLED,
             "version=%" PRIx64 " before=%" PRIx64 " source=%s routes=%u",
             site->version, proxy->site != NULL ? proxy->site->version : 0,
             source, site->routes->len);
  log_unknown_words (site);
  log_unread_parts (site);
  jl_site_drop (proxy->previous_site);
  proxy->previous_site = proxy->site;
  proxy->site = site;
  proxy->self->site_version = site->version;
  g_free (proxy->site_text);
  proxy->site_text = jl_platform_redact_site (site, text, size);
  proxy->site_size = strlen (proxy->site_text);
  jl_freshness_installed (proxy->freshness);
  jl_beacon_send_soon (proxy->beacon);
  jl_proxy_apply_limits (proxy);
}

static void
on_queue_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;

  if (proxy->lane.waiting > 0)
    jl_guard_run_queue (proxy);
  jl_handback_check (proxy);
  jl_watch_check (proxy->watch);
  jl_freshness_note_turn (proxy->freshness);
  jl_record_flush ();
  jl_loop_start_timer (proxy->loop, timer, QUEUE_PERIOD_US, on_queue_timer,
                       proxy);
}

/* Logs the share of refused demand: at its start and end, and every tenth
 * control window in between. */
static void
log_shed (struct jl_proxy *proxy, double before)
{
  const struct jl_load_shedder *shedder = &proxy->load_shedder;

  if ((before > 0) == (shedder->shed_share > 0)
      && proxy->window_count % 10 != 0)
    return;
  if (before <= 0 && shedder->shed_share <= 0)
    return;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_SHED_SHARE,
             "shed=%.3f before=%.3f rate=%.0f capacity=%.0f running=%u "
             "waiting=%u limit=%u hold_ms=%.1f",
             shedder->shed_share, before, shedder->arrival_rate,
             jl_load_shedder_capacity (shedder, proxy->lane.limit),
             proxy->lane.running, proxy->lane.waiting, proxy->lane.limit,
             shedder->hold_us / 1000);
}

static void
on_control_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;
  double before = proxy->load_shedder.shed_share;

  proxy->window_count++;
  jl_failure_rate_decay (&proxy->failure_rate);
  jl_load_shedder_end_window (&proxy->load_shedder, proxy->lane.limit,
                              proxy->lane.waiting);
  if (proxy->window_count % FANOUT_PERIOD_WINDOWS == 0)
    {
      jl_fanout_end_window (&proxy->fanout);
      proxy->self->fanout_count = jl_fanout_list (
          &proxy->fanout, proxy->self->fanout, JL_MEMBER_FANOUT_MAX);
    }
  log_shed (proxy, before);
  jl_rows_update_following (proxy);
  jl_rows_write_learned (proxy);
  jl_proxy_update_self (proxy);
  jl_demand_end_window (proxy);
  jl_entry_check_members (proxy);
  jl_trial_check (proxy);
  jl_loop_start_timer (proxy->loop, timer, JL_CONTROL_WINDOW_US,
                       on_control_timer, proxy);
}

static void
on_sweep_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;

  jl_net_close_expired (proxy->net);
  jl_pool_close_expired (proxy->peer_pool);
  jl_pool_close_expired (proxy->target_pool);
  jl_suspects_expire (&proxy->suspects, jl_now ());
  jl_loop_start_timer (proxy->loop, timer, SWEEP_PERIOD_US, on_sweep_timer,
                       proxy);
}

/* Whether the settings that cannot change without a restart are equal. */
static bool
has_same_identity (const struct jl_options *a, const struct jl_options *b)
{
  return strcmp (a->name, b->name) == 0 && strcmp (a->zone, b->zone) == 0
         && a->ip == b->ip && a->peer_port == b->peer_port
         && a->entry.port == b->entry.port && a->ready.port == b->ready.port
         && a->announce.port == b->announce.port;
}

/* Whether both settings name the same target. */
static bool
has_same_target (const struct jl_options *a, const struct jl_options *b)
{
  return jl_endpoint_equal (a->target, b->target)
         && strcmp (a->service, b->service) == 0;
}

/* Ends the use of the target that @former names. Its requests in progress go
 * on, and it gets no further ones. */
static void
leave_target (struct jl_proxy *proxy, const struct jl_options *former)
{
  jl_target_forget (&proxy->target);
  jl_fanout_init (&proxy->fanout);
  jl_pool_close_endpoint (proxy->target_pool, former->target);
  jl_proxy_target_changed (proxy, "settings");
}

static void
replace_options (struct jl_proxy *proxy, struct jl_options *options)
{
  struct jl_options *former = proxy->options;

  proxy->options = options;
  proxy->target.heartbeat_us = options->heartbeat_us;
  if (!has_same_target (former, options))
    leave_target (proxy, former);
  g_free (former);
}

/* Reloads the settings. @requested: a signal requested the reload, so unchanged
 * settings are logged too. */
static void
reload (struct jl_proxy *proxy, bool requested)
{
  GError *error = NULL;
  struct jl_options *options = jl_options_load (proxy->options_path, &error);

  proxy->options_read_us = jl_now ();
  if (options == NULL)
    {
      jl_record (JL_RECORD_CHANGE, JL_RECORD_RELOAD_REFUSED, "cause=\"%s\"",
                 error->message);
      g_error_free (error);
      return;
    }
  if (options->digest == proxy->options->digest)
    {
      if (requested)
        jl_record (JL_RECORD_CHANGE, JL_RECORD_RELOADED, "changed=0");
      g_free (options);
      return;
    }
  if (!has_same_identity (options, proxy->options))
    {
      jl_record (JL_RECORD_CHANGE, JL_RECORD_RELOAD_REFUSED,
                 "cause=\"names, zone and ports need a new start\"");
      g_free (options);
      return;
    }
  jl_record (JL_RECORD_CHANGE, JL_RECORD_RELOADED, "changed=1 service=%s",
             options->service);
  replace_options (proxy, options);
}

void
jl_proxy_renew_settings (struct jl_proxy *proxy)
{
  if (proxy->options_path != NULL
      && jl_now () >= proxy->options_read_us + RENEW_GAP_US)
    reload (proxy, false);
}

static void
on_reload_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;

  reload (proxy, false);
  jl_loop_start_timer (proxy->loop, timer, RELOAD_PERIOD_US, on_reload_timer,
                       proxy);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  struct jl_proxy *proxy = handle->data;

  if (number == SIGHUP)
    reload (proxy, true);
  else
    jl_proxy_begin_stop (proxy);
}

static const int handled_signals[] = { SIGTERM, SIGINT, SIGHUP };

/* @how: SIG_BLOCK or SIG_UNBLOCK */
static void
mask_signals (int how)
{
  sigset_t set;

  sigemptyset (&set);
  for (size_t i = 0; i < G_N_ELEMENTS (handled_signals); i++)
    sigaddset (&set, handled_signals[i]);
  pthread_sigmask (how, &set, NULL);
}

void
jl_proxy_hold_signals (void)
{
  mask_signals (SIG_BLOCK);
}

static void
watch_signals (struct jl_proxy *proxy)
{
  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < G_N_ELEMENTS (handled_signals); i++)
    {
      uv_signal_init (&proxy->loop->uv, &proxy->signals[i]);
      proxy->signals[i].data = proxy;
      uv_signal_start (&proxy->signals[i], on_signal, handled_signals[i]);
    }
  mask_signals (SIG_UNBLOCK);
}

static struct jl_endpoint
own_endpoint (const struct jl_proxy *proxy, uint16_t port)
{
  struct jl_endpoint endpoint = { proxy->options->ip, port };

  return endpoint;
}

static bool
open_sockets (struct jl_proxy *proxy, const char **why)
{
  const struct jl_options *options = proxy->options;
  struct jl_net *net = proxy->net;

  proxy->ready
      = jl_server_open (net, options->ready, &jl_ready_handler, proxy, why);
  proxy->announce = jl_server_open (net, options->announce,
                                    &jl_announce_handler, proxy, why);
  proxy->entry
      = jl_server_open (net, options->entry, &jl_entry_handler, proxy, why);
  proxy->guard = jl_server_open (net, own_endpoint (proxy, options->peer_port),
                                 &jl_guard_handler, proxy, why);
  proxy->metrics
      = jl_server_open (net, own_endpoint (proxy, options->metrics_port),
                        &jl_metrics_handler, proxy, why);
  proxy->beacon = jl_beacon_new (proxy, why);
  if (proxy->ready == NULL || proxy->announce == NULL || proxy->entry == NULL
      || proxy->guard == NULL || proxy->metrics == NULL
      || proxy->beacon == NULL)
    return false;
  jl_server_set_idle_timeout (proxy->ready, SERVER_IDLE_TIMEOUT_US);
  jl_server_set_idle_timeout (proxy->announce, SERVER_IDLE_TIMEOUT_US);
  jl_server_set_idle_timeout (proxy->guard, SERVER_IDLE_TIMEOUT_US);
  return true;
}

static void
start_timers (struct jl_proxy *proxy)
{
  jl_loop_start_timer (proxy->loop, &proxy->queue_timer, QUEUE_PERIOD_US,
                       on_queue_timer, proxy);
  jl_loop_start_timer (proxy->loop, &proxy->control_timer, JL_CONTROL_WINDOW_US,
                       on_control_timer, proxy);
  jl_loop_start_timer (proxy->loop, &proxy->sweep_timer, SWEEP_PERIOD_US,
                       on_sweep_timer, proxy);
  if (proxy->options_path != NULL)
    jl_loop_start_timer (proxy->loop, &proxy->reload_timer, RELOAD_PERIOD_US,
                         on_reload_timer, proxy);
}

static void
on_silence (void *context,
            struct jl_endpoint endpoint,
            uint64_t silent_us,
            unsigned count)
{
  char at[JL_ENDPOINT_TEXT_SIZE];

  (void)context;
  jl_endpoint_format (endpoint, at);
  jl_record (JL_RECORD_CHANGE, JL_RECORD_CONNECTIONS_SILENT,
             "at=%s silent_ms=%" PRIu64 " closed=%u", at,
             silent_us / JL_USEC_PER_MSEC, count);
}

static void
open_pools (struct jl_proxy *proxy)
{
  static const struct jl_silence_ops ops = { .closed = on_silence };

  proxy->peer_pool
      = jl_pool_new (proxy->net, PEER_IDLE_MAX_US, PEER_IDLE_CONNECTIONS_MAX);
  proxy->target_pool = jl_pool_new (proxy->net, TARGET_IDLE_MAX_US, G_MAXUINT);
  if (JL_TEST_DISABLED ("silence"))
    return;
  jl_pool_set_silence_max (proxy->peer_pool, PEER_SILENCE_MAX_US, &ops, proxy);
}

static void
init_modules (struct jl_proxy *proxy)
{
  const struct jl_options *options = proxy->options;

  CDS_INIT_LIST_HEAD (&proxy->calls);
  CDS_INIT_LIST_HEAD (&proxy->work_items);
  proxy->target.name_key = jl_name_key (options->name);
  proxy->target.heartbeat_us = options->heartbeat_us;
  jl_lane_init (&proxy->lane);
  jl_lineage_init (&proxy->lineage);
  jl_fair_share_init (&proxy->fair_share);
  jl_load_shedder_init (&proxy->load_shedder);
  jl_notice_init (&proxy->target_limit);
  jl_fanout_init (&proxy->fanout);
  jl_roster_init (&proxy->roster, options->zone);
  proxy->self = jl_roster_get_or_add (&proxy->roster, options->name);
  proxy->self->peer = options->advertise;
  proxy->self->epoch = proxy->epoch;
  jl_roster_set_zone (&proxy->roster, proxy->self, options->zone);
  proxy->loop = jl_loop_new ();
  proxy->net = jl_net_new (proxy->loop);
  open_pools (proxy);
  proxy->leave_requests = g_ptr_array_new ();
  proxy->watch = jl_watch_new (proxy);
  jl_suspects_init (&proxy->suspects, &suspect_limits);
  proxy->infer = jl_infer_new (proxy);
  proxy->news = jl_news_new (proxy);
  proxy->freshness = jl_freshness_new (proxy);
  proxy->quota = jl_quota_new (proxy);
}

struct jl_proxy *
jl_proxy_new (struct jl_options *options, const char *path)
{
  struct jl_proxy *proxy = g_new0 (struct jl_proxy, 1);
  const char *why = "";

  proxy->options = options;
  proxy->options_path = path;
  proxy->epoch = (uint64_t)g_get_real_time ();
  proxy->started_us = jl_now ();
  jl_recall_start (&proxy->target.recall, proxy->epoch / JL_USEC_PER_MSEC,
                   proxy->started_us);
  init_modules (proxy);
  if (!open_sockets (proxy, &why))
    {
      jl_record (JL_RECORD_CHANGE, JL_RECORD_STOPPED, "cause=\"%s\"", why);
      jl_record_flush ();
      return NULL;
    }
  jl_proxy_update_self (proxy);
  watch_signals (proxy);
  start_timers (proxy);
  jl_record (JL_RECORD_CHANGE, JL_RECORD_STARTED,
             "name=%s zone=%s service=%s epoch=%" PRIu64, options->name,
             options->zone, options->service, proxy->epoch);
  jl_rows_open (proxy);
  return proxy;
}

int
jl_proxy_run (struct jl_proxy *proxy)
{
  jl_loop_run (proxy->loop);
  jl_record (JL_RECORD_CHANGE, JL_RECORD_STOPPED, "status=%d",
             proxy->exit_status);
  jl_record_flush ();
  return proxy->exit_status;
}
