/**
 * DOC: HTTP listeners that do not forward requests: readiness, metrics.
 */

#include "proxy/proxy.h"

#include "names.h"
#include "proxy/digest.h"
#include "proxy/freshness.h"
#include "proxy/identify.h"
#include "proxy/quota.h"
#include "proxy/report.h"
#include "proxy/shares.h"

#include <string.h>

static void
respond_text (struct jl_request *request, unsigned status, const char *text)
{
  jl_request_reply (request, status, "Content-Type: text/plain\r\n", text,
                    strlen (text));
}

static void
on_ready_begin (void *context, struct jl_request *request)
{
  const struct jl_proxy *proxy = context;
  const char *target = jl_head_target (jl_request_head (request));

  if (strcmp (target, JL_PATH_READY) != 0)
    respond_text (request, 404, "not found\n");
  else if (jl_proxy_is_ready (proxy))
    respond_text (request, 200, "ready\n");
  else
    respond_text (request, 503, "not ready\n");
}

const struct jl_handler jl_ready_handler = { .begin = on_ready_begin };

static void
append_counter (GString *text, const char *name, uint64_t value)
{
  g_string_append_printf (text, "jackdawladder_%s %" G_GUINT64_FORMAT "\n",
                          name, (guint64)value);
}

static void
append_histogram (GString *text,
                  const char *name,
                  const struct jl_histogram *histogram)
{
  uint64_t cumulative = 0;

  for (unsigned i = 0; i < JL_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += histogram->buckets[i];
      g_string_append_printf (
          text, "jackdawladder_%s_ms_bucket{le=\"%u\"} %" G_GUINT64_FORMAT "\n",
          name, 1u << i, (guint64)cumulative);
    }
  g_string_append_printf (text,
                          "jackdawladder_%s_ms_sum %.3f\n"
                          "jackdawladder_%s_ms_count %" G_GUINT64_FORMAT "\n",
                          name, (double)histogram->sum_us / 1000, name,
                          (guint64)histogram->count);
}

static void
append_load_reports (GString *text, const struct jl_proxy_counters *counters)
{
  append_counter (text, "starts_total", counters->starts);
  append_counter (text, "late_starts_total", counters->late_starts);
  append_counter (text, "moved_total", counters->moved);
  append_counter (text, "spilled_total", counters->spilled);
  append_histogram (text, "load_report_age", &counters->report_age);
}

static void
append_counters (GString *text, const struct jl_proxy *proxy)
{
  const struct jl_proxy_counters *counters = &proxy->counters;
  const struct jl_store_counters *store = jl_store_counters (proxy->store);
  const struct jl_net_counters *net = jl_net_counters (proxy->net);
  const struct jl_digest_counters *digest
      = jl_beacon_digest_counters (proxy->beacon);

  append_counter (text, "requests_total", counters->requests);
  append_counter (text, "calls_total", counters->calls);
  append_counter (text, "calls_of_known_runs_total", proxy->lineage.found);
  append_counter (text, "calls_of_unknown_runs_total", proxy->lineage.unknown);
  append_counter (text, "served_total", counters->served);
  append_counter (text, "refused_total", counters->refused);
  if (proxy->site != NULL && proxy->site->customers != NULL)
    append_counter (text, "refused_fair_share_total",
                    counters->refused_by_share);
  append_counter (text, "failed_total", counters->failed);
  append_counter (text, "clients_left_total", counters->clients_left);
  append_counter (text, "placed_again_total", counters->placed_again);
  append_counter (text, "other_zone_total", counters->other_zone);
  append_counter (text, "work_total", counters->work);
  append_counter (text, "work_refused_total", counters->work_refused);
  append_counter (text, "work_lost_total", counters->work_lost);
  append_counter (text, "runs_in_vain_total", counters->runs_in_vain);
  append_counter (text, "runs_abandoned_total", counters->runs_abandoned);
  append_counter (text, "answers_dropped_total", counters->responses_dropped);
  append_counter (text, "targets_ended_total", counters->targets_ended);
  append_counter (text, "target_probes_total", counters->target_probes);
  append_counter (text, "strikes_total", counters->strikes);
  append_counter (text, "trials_total", counters->trials);
  append_counter (text, "contents_cleared_total", counters->contents_cleared);
  append_counter (text, "requests_held_total", counters->requests_held);
  append_counter (text, "poison_refused_total", counters->poison_refused);
  append_counter (text, "suspect_contents", proxy->suspects.open_count);
  append_counter (text, "beacons_received_total", counters->beacons_received);
  append_counter (text, "beacons_sent_total", counters->beacons_sent);
  append_counter (text, "digests_sent_total", digest->sent);
  append_counter (text, "digests_received_total", digest->received);
  append_counter (text, "digest_states_unknown_total", digest->unknown);
  append_counter (text, "beacons_relayed_total", digest->relayed);
  append_counter (text, "datagrams_passed_on_total", digest->passed_on);
  append_counter (text, "store_reads_total", store->reads);
  append_counter (text, "store_writes_total", store->writes);
  append_counter (text, "store_failures_total", store->failures);
  append_counter (text, "store_outdated_total", store->outdated);
  append_counter (text, "store_restores_total", counters->store_restores);
  append_counter (text, "store_checks_total", counters->store_checks);
  append_counter (text, "store_age_ms", jl_freshness_age_ms (proxy->freshness));
  append_counter (text, "store_era", jl_store_era (proxy->store));
  append_counter (text, "connections_accepted_total", net->accepted);
  append_counter (text, "connections_made_total", net->connected);
  append_counter (text, "bytes_received_total", net->bytes_in);
  append_counter (text, "bytes_sent_total", net->bytes_out);
  jl_identify_append_metrics (text, proxy);
  jl_quota_append_metrics (proxy->quota, text);
  if (proxy->options->load_reports)
    append_load_reports (text, counters);
  append_histogram (text, "request", &counters->request_time);
  append_histogram (text, "lane", &counters->lane_time);
  append_histogram (text, "target", &counters->target_time);
}

/* Appends the last load report of a daemon. */
static void
append_load (GString *text, const struct jl_load_view *load, uint64_t now_us)
{
  char report[JL_LOAD_REPORT_SIZE];

  if (load->heard_us == 0)
    return;
  jl_load_report_format (&load->report, report);
  g_string_append_printf (
      text, "# load: %s sent=%u age_ms=%" PRIu64 "\n", report, load->sent,
      (now_us - MIN (load->heard_us, now_us)) / JL_USEC_PER_MSEC);
}

static void
append_state (GString *text, const struct jl_proxy *proxy)
{
  uint64_t now_us = jl_now ();

  g_string_append_printf (
      text,
      "# state: site=%" PRIx64 " target=%s/%s running=%u waiting=%u limit=%u "
      "shed=%.3f room=%.3f hold_ms=%.1f rate_limit=%g stopping=%d\n",
      proxy->site != NULL ? proxy->site->version : 0, proxy->target.last.id,
      jl_target_state_name (proxy->target.state), proxy->lane.running,
      proxy->lane.waiting, proxy->lane.limit, proxy->load_shedder.shed_share,
      proxy->load_shedder.spare_share, proxy->load_shedder.hold_us / 1000,
      proxy->target_limit.rate.rate, proxy->stopping);
  for (guint i = 0; i < proxy->roster.members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (proxy->roster.members, i);

      g_string_append_printf (
          text,
          "# member: name=%s zone=%s service=%s state=%s heard=%d shed=%.3f "
          "outstanding=%u\n",
          member->name, member->zone, member->service,
          jl_target_state_name (member->state),
          jl_member_is_alive (member, now_us), member->shed_share,
          member->outstanding);
      append_load (text, &member->load, now_us);
    }
}

static void
append_suspects (GString *text, const struct jl_proxy *proxy)
{
  const struct jl_suspect *suspect;
  uint64_t now_us = jl_now ();

  cds_list_for_each_entry (suspect, &proxy->suspects.open, open)
  {
    struct jl_verdict verdict = jl_suspects_judge (
        &proxy->suspects, suspect->content, JL_ANY_SERVICE, now_us);

    g_string_append_printf (
        text,
        "# suspect: content=%016" PRIx64 " state=%s ends=%u trials=%u "
        "until_ms=%" PRIu64 "\n",
        suspect->content, jl_suspicion_name (verdict.suspicion), verdict.ends,
        verdict.trials,
        verdict.until_us > now_us
            ? (verdict.until_us - now_us) / JL_USEC_PER_MSEC
            : 0);
  }
}

static void
on_metrics_begin (void *context, struct jl_request *request)
{
  const struct jl_proxy *proxy = context;
  const char *target = jl_head_target (jl_request_head (request));
  GString *text = g_string_new (NULL);

  if (strcmp (target, "/metrics") == 0)
    append_counters (text, proxy);
  else if (strcmp (target, "/state") == 0)
    {
      append_state (text, proxy);
      jl_identify_append_state (text, proxy);
      jl_shares_append_state (proxy, text);
      append_suspects (text, proxy);
      jl_quota_append_state (proxy->quota, text);
    }
  if (text->len > 0)
    respond_text (request, 200, text->str);
  else
    respond_text (request, 404, "not found\n");
  g_string_free (text, TRUE);
}

const struct jl_handler jl_metrics_handler = { .begin = on_metrics_begin };
