/**
 * DOC: The proxy's life: start, control windows, stop, reload.
 */

#include "proxy/proxy.h"

#include "decode.h"
#include "proxy/demand.h"
#include "proxy/hooks.h"
#include "proxy/rows.h"

#include <math.h>
#include <signal.h>
#include <string.h>

/* Longest idle time of a connection that is used again. */
#define PEER_IDLE_US (20 * JL_USEC_PER_SEC)
#define TARGET_IDLE_US (5 * JL_USEC_PER_SEC)
/* What a guard leaves open beyond that. */
#define GUARD_IDLE_US (60 * JL_USEC_PER_SEC)
#define PEER_IDLE_MAX 64
/* Share of a target's slots that is not used: it slows down near its end. */
#define SLOTS_FREE 0.06
#define LANE_PERIOD_US (20 * JL_USEC_PER_MSEC)
#define SWEEP_PERIOD_US (500 * JL_USEC_PER_MSEC)
#define RELOAD_PERIOD_US (2 * JL_USEC_PER_SEC)
/* A planned stop serves for at least this long: clients hear of it slowly. */
#define STAY_US (2500 * JL_USEC_PER_MSEC)
/* The own target goes on getting work for this long; what it has then ends
 * before the rest of the stay is over. */
#define GUARD_STAY_US (1700 * JL_USEC_PER_MSEC)
/* Left of the grace time when requests in progress are cut off. */
#define CUT_BEFORE_US (400 * JL_USEC_PER_MSEC)
#define STOP_PERIOD_US (50 * JL_USEC_PER_MSEC)
/* Time after the start at which a daemon that hears nobody is ready too. */
#define ALONE_US (1500 * JL_USEC_PER_MSEC)
/* Windows between two fits of the call graph. */
#define FANOUT_WINDOWS 3
#define EXIT_CUT_OFF 4

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
  if (proxy->target.state != JL_TARGET_NONE)
    return proxy->target.last.service;
  return proxy->options->service;
}

bool
jl_proxy_ready (const struct jl_proxy *proxy)
{
  uint64_t now_us = jl_now ();

  return proxy->site != NULL && !proxy->stopping
         && (jl_roster_alive_count (&proxy->roster, now_us) > 1
             || now_us > proxy->started_us + ALONE_US);
}

bool
jl_proxy_is_ending (const struct jl_proxy *proxy)
{
  return proxy->stopping && jl_now () > proxy->stop_since_us + STAY_US;
}

static unsigned
lane_limit (unsigned slots)
{
  unsigned unused = (unsigned)ceil (slots * SLOTS_FREE);

  return slots > unused ? slots - unused : 1;
}

static void
update_self (struct jl_proxy *proxy)
{
  struct jl_member *self = proxy->self;

  g_strlcpy (self->service, jl_proxy_service (proxy), JL_TEXT_SIZE);
  g_strlcpy (self->target, proxy->target.last.id, JL_TEXT_SIZE);
  self->state = proxy->target.state;
  if (JL_OFF ("drain") && self->state == JL_TARGET_LEAVING)
    self->state = JL_TARGET_UP;
  if (proxy->guard_closed && self->state == JL_TARGET_UP)
    self->state = JL_TARGET_LEAVING;
  self->limit = proxy->lane.limit;
  self->capacity
      = jl_load_shedder_capacity (&proxy->pressure, proxy->lane.limit);
  self->shed = proxy->pressure.shed;
  self->spare_share = proxy->pressure.spare_share;
  self->failure_rate = jl_failure_rate_get (&proxy->failing);
  self->last_beacon_us = jl_now ();
}

void
jl_proxy_target_changed (struct jl_proxy *proxy, const char *cause)
{
  const struct jl_target *target = &proxy->target;

  jl_record (JL_RECORD_CHANGE, JL_RECORD_TARGET,
             "state=%s cause=%s target=%s service=%s slots=%u sequence=%" PRIu64
             " born=%" PRIu64 " running=%u",
             jl_target_state_name (target->state), cause, target->last.id,
             target->last.service, target->last.slots, target->last.sequence,
             target->last.started_ms, proxy->lane.running);
  proxy->lane.limit = lane_limit (target->last.slots);
  if (target->state != JL_TARGET_UP)
    {
      jl_pool_forget (proxy->own, proxy->options->target);
      jl_guard_refuse_waiting (
          proxy, target->state == JL_TARGET_LEAVING ? "draining" : "no-target");
    }
  update_self (proxy);
  jl_beacon_soon (proxy->beacon);
  jl_guard_pump (proxy);
}

void
jl_proxy_install (struct jl_proxy *proxy,
                  const char *text,
                  size_t size,
                  const char *source)
{
  GError *error = NULL;
  struct jl_site *site = jl_platform_site (text, size, &error);

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
      jl_site_unref (site);
      return;
    }
  jl_record (JL_RECORD_CHANGE, JL_RECORD_SITE,
             "version=%" PRIx64 " before=%" PRIx64 " source=%s routes=%u",
             site->version, proxy->site != NULL ? proxy->site->version : 0,
             source, site->routes->len);
  jl_site_unref (proxy->site);
  proxy->site = site;
  g_free (proxy->site_text);
  proxy->site_text = g_memdup2 (text, size);
  proxy->site_size = size;
  jl_beacon_soon (proxy->beacon);
  jl_net_limits (proxy->net, site->head_bytes_max, site->head_timeout_us,
                 site->idle_timeout_us);
}

static void
on_lane_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;

  if (proxy->lane.waiting > 0)
    jl_guard_pump (proxy);
  jl_record_flush ();
  jl_loop_after (proxy->loop, timer, LANE_PERIOD_US, on_lane_timer, proxy);
}

static void
note_shed (struct jl_proxy *proxy, double before)
{
  const struct jl_load_shedder *pressure = &proxy->pressure;

  if ((before > 0) == (pressure->shed > 0) && proxy->ticks % 10 != 0)
    return;
  if (before <= 0 && pressure->shed <= 0)
    return;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_SHED,
             "shed=%.3f before=%.3f rate=%.0f capacity=%.0f running=%u "
             "waiting=%u limit=%u hold_ms=%.1f",
             pressure->shed, before, pressure->rate,
             jl_load_shedder_capacity (pressure, proxy->lane.limit),
             proxy->lane.running, proxy->lane.waiting, proxy->lane.limit,
             pressure->hold_us / 1000);
}

static void
on_control_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;
  double before = proxy->pressure.shed;

  proxy->ticks++;
  jl_failure_rate_decay (&proxy->failing);
  jl_load_shedder_end_window (&proxy->pressure, proxy->lane.limit,
                              proxy->lane.waiting);
  if (proxy->ticks % FANOUT_WINDOWS == 0)
    {
      jl_fanout_end_window (&proxy->fanout);
      proxy->self->fanout_count = jl_fanout_list (
          &proxy->fanout, proxy->self->fanout, JL_MEMBER_FANOUT_MAX);
    }
  note_shed (proxy, before);
  jl_rows_window (proxy);
  update_self (proxy);
  jl_demand_end_window (proxy);
  jl_entry_check_members (proxy);
  jl_loop_after (proxy->loop, timer, JL_CONTROL_WINDOW_US, on_control_timer,
                 proxy);
}

static void
on_sweep_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;

  jl_net_sweep (proxy->net);
  jl_pool_sweep (proxy->peers);
  jl_pool_sweep (proxy->own);
  jl_loop_after (proxy->loop, timer, SWEEP_PERIOD_US, on_sweep_timer, proxy);
}

static bool
is_same_place (const struct jl_options *a, const struct jl_options *b)
{
  return strcmp (a->name, b->name) == 0 && strcmp (a->zone, b->zone) == 0
         && a->ip == b->ip && a->peer_port == b->peer_port
         && a->entry.port == b->entry.port && a->ready.port == b->ready.port
         && a->announce.port == b->announce.port;
}

static void
reload (struct jl_proxy *proxy, bool asked)
{
  GError *error = NULL;
  struct jl_options *options = jl_options_load (proxy->options_path, &error);

  if (options == NULL)
    {
      jl_record (JL_RECORD_CHANGE, JL_RECORD_RELOAD_REFUSED, "cause=\"%s\"",
                 error->message);
      g_error_free (error);
      return;
    }
  if (options->digest == proxy->options->digest)
    {
      if (asked)
        jl_record (JL_RECORD_CHANGE, JL_RECORD_RELOADED, "changed=0");
      g_free (options);
      return;
    }
  if (!is_same_place (options, proxy->options))
    {
      jl_record (JL_RECORD_CHANGE, JL_RECORD_RELOAD_REFUSED,
                 "cause=\"names, zone and ports need a new start\"");
      g_free (options);
      return;
    }
  jl_record (JL_RECORD_CHANGE, JL_RECORD_RELOADED, "changed=1 service=%s",
             options->service);
  g_free (proxy->options);
  proxy->options = options;
}

static void
on_reload_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;

  reload (proxy, false);
  jl_loop_after (proxy->loop, timer, RELOAD_PERIOD_US, on_reload_timer, proxy);
}

/* The daemon is about to go: others send its target no more work. */
static void
close_guard (struct jl_proxy *proxy)
{
  proxy->guard_closed = true;
  update_self (proxy);
  jl_beacon_soon (proxy->beacon);
}

static void
on_stop_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;
  uint64_t age_us = jl_now () - proxy->stop_since_us;
  bool idle = cds_list_empty (&proxy->calls) && cds_list_empty (&proxy->works);

  if (age_us >= GUARD_STAY_US && !proxy->guard_closed)
    close_guard (proxy);
  if (age_us >= STAY_US && idle)
    {
      jl_loop_stop (proxy->loop);
      return;
    }
  if (age_us + CUT_BEFORE_US >= proxy->options->grace_us)
    {
      proxy->exit_status = EXIT_CUT_OFF;
      jl_loop_stop (proxy->loop);
      return;
    }
  jl_loop_after (proxy->loop, timer, STOP_PERIOD_US, on_stop_timer, proxy);
}

static void
begin_stop (struct jl_proxy *proxy)
{
  if (proxy->stopping)
    return;
  proxy->stopping = true;
  proxy->stop_since_us = jl_now ();
  jl_record (JL_RECORD_CHANGE, JL_RECORD_STOPPING, "grace_ms=%" PRIu64,
             proxy->options->grace_us / JL_USEC_PER_MSEC);
  jl_server_close_after (proxy->entry);
  on_stop_timer (proxy, &proxy->stop_timer);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  struct jl_proxy *proxy = handle->data;

  if (number == SIGHUP)
    reload (proxy, true);
  else
    begin_stop (proxy);
}

static void
watch_signals (struct jl_proxy *proxy)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (&proxy->loop->uv, &proxy->signals[i]);
      proxy->signals[i].data = proxy;
      uv_signal_start (&proxy->signals[i], on_signal, numbers[i]);
    }
}

static struct jl_endpoint
own_port (const struct jl_proxy *proxy, uint16_t port)
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
  proxy->guard = jl_server_open (net, own_port (proxy, options->peer_port),
                                 &jl_guard_handler, proxy, why);
  proxy->metrics = jl_server_open (net, own_port (proxy, options->metrics_port),
                                   &jl_metrics_handler, proxy, why);
  proxy->beacon = jl_beacon_new (proxy, why);
  if (proxy->ready == NULL || proxy->announce == NULL || proxy->entry == NULL
      || proxy->guard == NULL || proxy->metrics == NULL
      || proxy->beacon == NULL)
    return false;
  jl_server_idle_timeout (proxy->ready, GUARD_IDLE_US);
  jl_server_idle_timeout (proxy->announce, GUARD_IDLE_US);
  jl_server_idle_timeout (proxy->guard, GUARD_IDLE_US);
  return true;
}

static void
start_timers (struct jl_proxy *proxy)
{
  jl_loop_after (proxy->loop, &proxy->lane_timer, LANE_PERIOD_US, on_lane_timer,
                 proxy);
  jl_loop_after (proxy->loop, &proxy->control_timer, JL_CONTROL_WINDOW_US,
                 on_control_timer, proxy);
  jl_loop_after (proxy->loop, &proxy->sweep_timer, SWEEP_PERIOD_US,
                 on_sweep_timer, proxy);
  jl_loop_after (proxy->loop, &proxy->reload_timer, RELOAD_PERIOD_US,
                 on_reload_timer, proxy);
}

static void
init_parts (struct jl_proxy *proxy)
{
  const struct jl_options *options = proxy->options;

  CDS_INIT_LIST_HEAD (&proxy->calls);
  CDS_INIT_LIST_HEAD (&proxy->works);
  jl_lane_init (&proxy->lane);
  jl_load_shedder_init (&proxy->pressure);
  jl_fanout_init (&proxy->fanout);
  jl_roster_init (&proxy->roster, options->zone);
  proxy->self = jl_roster_member (&proxy->roster, options->name);
  proxy->self->peer = options->advertise;
  g_strlcpy (proxy->self->zone, options->zone, JL_TEXT_SIZE);
  proxy->loop = jl_loop_new ();
  proxy->net = jl_net_new (proxy->loop);
  proxy->peers = jl_pool_new (proxy->net, PEER_IDLE_US, PEER_IDLE_MAX);
  proxy->own = jl_pool_new (proxy->net, TARGET_IDLE_US, G_MAXUINT);
  proxy->left_waiting = g_ptr_array_new ();
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
  init_parts (proxy);
  if (!open_sockets (proxy, &why))
    {
      jl_record (JL_RECORD_CHANGE, JL_RECORD_STOPPED, "cause=\"%s\"", why);
      jl_record_flush ();
      return NULL;
    }
  update_self (proxy);
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
