/**
 * DOC: Datagrams with reports on suspect contents.
 *
 * Each report is sent to all known daemons at once and, since datagrams may be
 * lost, sent again. Suspect and refused contents are also sent together with
 * beacons, and to daemons that have just started. Those are also told which
 * incarnations of their target have announced their leave before.
 */

#include "proxy/report.h"

#include "proxy/hooks.h"
#include "rpc/gen/beacon.h"

#include <string.h>
#include <xxhash.h>

/* Format of these datagrams, which differs from those of beacons. */
#define REPORTS_FORMAT 3
#define DATAGRAM_BYTES_MAX 1400
/* Delays after which a report is sent again. */
static const uint64_t resend_delays_us[]
    = { 100 * JL_USEC_PER_MSEC, 400 * JL_USEC_PER_MSEC };
/* Period of checks for reports to send again. */
#define RESEND_PERIOD_US (50 * JL_USEC_PER_MSEC)
/* Maximum number of reports that wait to be sent again. */
#define RESENDS_MAX 64
/* Maximum number of suspects sent together with one round of beacons. */
#define OPEN_SUSPECTS_MAX 24
/* Reports in one datagram, each on one content, that fit into it. */
#define SINGLE_REPORTS_MAX 36
_Static_assert(SINGLE_REPORTS_MAX <= BEACON_REPORTS_MAX, "reports fit");
#define FLAG_TRIAL 1u
#define FLAG_INFERRED 2u

/**
 * struct resend - a report that is sent again
 * @report: the report; owns its contents
 * @sent: number of times that it was sent again
 * @due_us: time at which it is sent next
 */
struct resend
{
  struct jl_report report;
  unsigned sent;
  uint64_t due_us;
};

/**
 * struct jl_news - sender of reports
 * @resends: array of struct resend
 * @timer: sends the due ones
 */
struct jl_news
{
  struct jl_proxy *proxy;
  GPtrArray *resends;
  struct jl_timer timer;
};

static void
free_resend (gpointer data)
{
  struct resend *resend = data;

  g_free ((gpointer)resend->report.contents);
  g_free (resend);
}

struct jl_news *
jl_news_new (struct jl_proxy *proxy)
{
  struct jl_news *news = g_new0 (struct jl_news, 1);

  news->proxy = proxy;
  news->resends = g_ptr_array_new_with_free_func (free_resend);
  return news;
}

/**
 * struct batch - reports that are sent in one datagram
 * @services: key of the service of each report's target
 */
struct batch
{
  unsigned count;
  struct beacon_report reports[SINGLE_REPORTS_MAX];
  unsigned services[SINGLE_REPORTS_MAX];
};

static void
add_report (struct batch *batch, const struct jl_report *report)
{
  uint64_t age_us = jl_now () - report->at_us;
  struct beacon_report wire = {
    .kind = report->kind,
    .flags
    = (report->trial ? FLAG_TRIAL : 0) | (report->inferred ? FLAG_INFERRED : 0),
    .target = report->target,
    .age_ms = (u_int)(age_us / JL_USEC_PER_MSEC),
    .contents.contents_len = report->count,
    .contents.contents_val = (u_quad_t *)report->contents,
  };

  batch->reports[batch->count] = wire;
  batch->services[batch->count] = report->service;
  batch->count++;
}

static size_t
encode (const struct jl_news *news, struct batch *batch, char *datagram)
{
  struct beacon_reports message = {
    .format = REPORTS_FORMAT,
    .name = news->proxy->options->name,
    .reports.reports_len = batch->count,
    .reports.reports_val = batch->reports,
  };
  struct beacon_reports_extension extension = {
    .services.services_len = batch->count,
    .services.services_val = batch->services,
  };
  XDR xdr;
  size_t size = 0;

  xdrmem_create (&xdr, datagram, DATAGRAM_BYTES_MAX, XDR_ENCODE);
  if (xdr_beacon_reports (&xdr, &message)
      && xdr_beacon_reports_extension (&xdr, &extension))
    size = xdr_getpos (&xdr);
  return size;
}

/* Sends a datagram to all known daemons, whether their beacons arrive or not:
 * in large sites most daemons of other zones send none to this one. */
static void
send_to_all (const struct jl_news *news, char *datagram, size_t size)
{
  const struct jl_proxy *proxy = news->proxy;

  for (guint i = 0; i < proxy->roster.members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (proxy->roster.members, i);

      if (member != proxy->self && member->peer.port != 0)
        jl_beacon_send_datagram (proxy->beacon, member->peer, datagram, size);
    }
}

/* Sends a report in as many datagrams as its contents need. */
static void
send_report (const struct jl_news *news, const struct jl_report *report)
{
  char datagram[DATAGRAM_BYTES_MAX];

  for (unsigned i = 0; i < report->count; i += JL_REPORT_CONTENTS_MAX)
    {
      struct jl_report part = *report;
      struct batch batch = { 0 };
      size_t size;

      part.contents = report->contents + i;
      part.count = MIN (report->count - i, JL_REPORT_CONTENTS_MAX);
      add_report (&batch, &part);
      size = encode (news, &batch, datagram);
      if (size > 0)
        send_to_all (news, datagram, size);
    }
}

static void
on_timer (void *context, struct jl_timer *timer)
{
  struct jl_news *news = context;
  uint64_t now_us = jl_now ();

  for (guint i = news->resends->len; i > 0; i--)
    {
      struct resend *resend = g_ptr_array_index (news->resends, i - 1);

      if (resend->due_us > now_us)
        continue;
      send_report (news, &resend->report);
      if (++resend->sent == G_N_ELEMENTS (resend_delays_us))
        g_ptr_array_remove_index (news->resends, i - 1);
      else
        resend->due_us = now_us + resend_delays_us[resend->sent];
    }
  if (news->resends->len > 0)
    jl_loop_start_timer (news->proxy->loop, timer, RESEND_PERIOD_US, on_timer,
                         news);
}

static void
resend_later (struct jl_news *news, const struct jl_report *report)
{
  struct resend *resend = g_new0 (struct resend, 1);

  resend->report = *report;
  resend->report.contents
      = g_memdup2 (report->contents, report->count * sizeof *report->contents);
  resend->due_us = jl_now () + resend_delays_us[0];
  if (news->resends->len >= RESENDS_MAX)
    g_ptr_array_remove_index (news->resends, 0);
  g_ptr_array_add (news->resends, resend);
  if (news->timer.heap_position == 0)
    jl_loop_start_timer (news->proxy->loop, &news->timer, RESEND_PERIOD_US,
                         on_timer, news);
}

/* Whether a report is worth sending again. Inferred strikes are many when
 * daemons lose each other, and most of them are void soon. Trials are reported
 * periodically while they last. */
static bool
is_resent (const struct jl_report *report)
{
  if (report->kind == JL_REPORT_STRIKE)
    return report->trial || !report->inferred;
  return report->kind == JL_REPORT_ANSWERED
         || report->kind == JL_REPORT_TRIAL_OVER;
}

void
jl_news_send (struct jl_news *news, const struct jl_report *report)
{
  send_report (news, report);
  if (is_resent (report))
    resend_later (news, report);
}

static void
add_strikes (const struct jl_news *news,
             const struct jl_suspect *suspect,
             struct batch *batch)
{
  const struct jl_suspects *suspects = &news->proxy->suspects;

  for (unsigned i = 0; i < suspect->strike_count; i++)
    {
      const struct jl_suspect_strike *strike = &suspect->strikes[i];
      struct jl_report report = {
        .kind = JL_REPORT_STRIKE,
        .trial = strike->trial,
        .inferred = strike->inferred,
        .target = (uint32_t)strike->target,
        .service = strike->service,
        .at_us = strike->at_us,
        .count = 1,
        .contents = &suspect->content,
      };

      if (jl_suspect_is_active (suspect, &suspects->limits, strike, jl_now ()))
        add_report (batch, &report);
    }
}

static void
flush_reports (const struct jl_news *news,
               const struct jl_member *member,
               bool local_zone,
               struct batch *batch)
{
  char datagram[DATAGRAM_BYTES_MAX];
  size_t size = batch->count > 0 ? encode (news, batch, datagram) : 0;

  batch->count = 0;
  if (size == 0)
    return;
  if (member != NULL)
    jl_beacon_send_datagram (news->proxy->beacon, member->peer, datagram, size);
  else
    jl_beacon_send_to_zone (news->proxy->beacon, local_zone, datagram, size);
}

void
jl_news_send_open (struct jl_news *news,
                   const struct jl_member *member,
                   bool local_zone)
{
  struct batch batch = { 0 };
  const struct jl_suspect *suspect;
  unsigned suspect_count = 0;

  cds_list_for_each_entry (suspect, &news->proxy->suspects.open, open)
  {
    if (suspect_count++ == OPEN_SUSPECTS_MAX)
      break;
    if (batch.count + JL_STRIKES_MAX > SINGLE_REPORTS_MAX)
      flush_reports (news, member, local_zone, &batch);
    add_strikes (news, suspect, &batch);
  }
  flush_reports (news, member, local_zone, &batch);
}

void
jl_news_send_departed (struct jl_news *news, const struct jl_member *member)
{
  struct batch batch = { 0 };

  for (unsigned i = 0; i < JL_MEMBER_DEPARTED_MAX; i++)
    {
      struct jl_report report = {
        .kind = JL_REPORT_DEPARTED,
        .target = member->departed_keys[i],
        .at_us = jl_now (),
      };

      if (report.target != 0)
        add_report (&batch, &report);
    }
  flush_reports (news, member, false, &batch);
}

void
jl_news_send_serving (struct jl_news *news,
                      const struct jl_member *member,
                      uint32_t target_key)
{
  struct batch batch = { 0 };
  struct jl_report report = {
    .kind = JL_REPORT_SERVING,
    .target = target_key,
    .at_us = jl_now (),
  };

  add_report (&batch, &report);
  flush_reports (news, member, false, &batch);
}

static uint64_t
digest_of (const char *id)
{
  return XXH64 (id, strlen (id), 0);
}

void
jl_news_send_own_departure (struct jl_news *news, const char *id)
{
  uint64_t digest = digest_of (id);
  struct jl_report report = {
    .kind = JL_REPORT_DEPARTED,
    .at_us = jl_now (),
    .count = 1,
    .contents = &digest,
  };

  jl_news_send (news, &report);
}

/* Applies that the target of another daemon has left: the incarnation that was
 * heard of last, if it has this identifier. */
static void
apply_departed_member (struct jl_proxy *proxy, const char *by, uint64_t digest)
{
  struct jl_member *member = jl_roster_get_or_add (&proxy->roster, by);

  if (member == proxy->self || JL_TEST_DISABLED ("left")
      || digest_of (member->known_target) != digest)
    return;
  jl_member_add_departed (member, member->known_target_key);
  if (member->state == JL_TARGET_UP)
    member->state = JL_TARGET_LEAVING;
}

static void
apply_departed (struct jl_proxy *proxy, uint32_t target_key)
{
  if (!JL_TEST_DISABLED ("left")
      && jl_target_restore_departed_key (&proxy->target, target_key))
    jl_proxy_target_changed (proxy, "left-before");
}

static void
apply_serving (struct jl_proxy *proxy, uint32_t target_key)
{
  jl_recall_vouch (&proxy->target.recall, target_key, jl_now ());
  jl_heartbeats_check_held (proxy);
}

static void
apply_wire (struct jl_proxy *proxy,
            const struct beacon_report *wire,
            uint32_t service,
            const char *by)
{
  uint64_t now_us = jl_now ();
  uint64_t age_us = wire->age_ms * JL_USEC_PER_MSEC;
  struct jl_report report = {
    .kind = (enum jl_report_kind)wire->kind,
    .trial = (wire->flags & FLAG_TRIAL) != 0,
    .inferred = (wire->flags & FLAG_INFERRED) != 0,
    .target = wire->target,
    .service = service,
    .at_us = now_us > age_us ? now_us - age_us : 1,
    .count = wire->contents.contents_len,
    .contents = (const uint64_t *)wire->contents.contents_val,
  };

  if (wire->kind == JL_REPORT_DEPARTED && report.count > 0)
    apply_departed_member (proxy, by, report.contents[0]);
  else if (wire->kind == JL_REPORT_DEPARTED)
    apply_departed (proxy, wire->target);
  else if (wire->kind == JL_REPORT_SERVING)
    apply_serving (proxy, wire->target);
  else if (wire->kind >= JL_REPORT_STRIKE
           && wire->kind <= JL_REPORT_TRIAL_RUNNING)
    jl_report_apply (proxy, &report, by);
}

static void
apply_message (struct jl_proxy *proxy,
               const struct beacon_reports *message,
               const struct beacon_reports_extension *extension)
{
  for (unsigned i = 0; i < message->reports.reports_len; i++)
    apply_wire (proxy, &message->reports.reports_val[i],
                i < extension->services.services_len
                    ? extension->services.services_val[i]
                    : JL_ANY_SERVICE,
                message->name);
}

void
jl_news_read (struct jl_news *news, const char *datagram, size_t size)
{
  struct beacon_reports message = { 0 };
  struct beacon_reports_extension extension = { 0 };
  XDR xdr;

  xdrmem_create (&xdr, (char *)datagram, (u_int)size, XDR_DECODE);
  if (xdr_beacon_reports (&xdr, &message) && message.format == REPORTS_FORMAT)
    {
      /* Older daemons send no extension. */
      if (!xdr_beacon_reports_extension (&xdr, &extension))
        extension.services.services_len = 0;
      apply_message (news->proxy, &message, &extension);
    }
  xdr_free ((xdrproc_t)xdr_beacon_reports, &message);
  xdr_free ((xdrproc_t)xdr_beacon_reports_extension, &extension);
}
