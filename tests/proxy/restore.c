/**
 * DOC: Tests of a store that comes back from an older copy: rows and versions
 * are lost, and versions are given out again.
 */

#include <criterion/criterion.h>

#include <string.h>

#include "proxy/parts/rig.h"
#include "proxy/report.h"
#include "rpc/gen/beacon.h"

#include <arpa/inet.h>
#include <unistd.h>
#include <xxhash.h>

/* Time within which a daemon has restored what the store has lost. */
#define RESTORED_MS 2000
/* Version of the store in the copy. */
#define COPY_VERSION 2
/* Interval of heartbeats. */
#define INTERVAL_MS 300

static void
begin (struct rig *rig, unsigned host)
{
  rig_prepare (rig, host);
  /* The daemon calls the store so seldom that a test can count its calls. */
  rig->options.config_apply_us = 20 * JL_USEC_PER_SEC;
  rig->store.era = 5;
  rig_start (rig);
  rig_run (rig, 600);
}

/* The operators write a configuration with @route_count routes. */
static void
write_configuration (struct rig *rig, unsigned version, unsigned route_count)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (
      text,
      "{\"version\":\"%08x\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeoutS\",\"targetLatencyS\",\"priority\","
      "\"split\",\"maxAttempts\",\"service\"],\"rows\":[",
      version);
  for (unsigned i = 0; i < route_count; i++)
    g_string_append_printf (text,
                            "%s[\"r%u\",\"a\",\"/%u/\",\"idempotent\",2,0.5,1,"
                            "null,2,\"front\"]",
                            i > 0 ? "," : "", i, i);
  g_string_append (
      text, "]},\"services\":{\"columns\":[\"name\"],\"rows\":[[\"front\"]]},"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
            "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
  fake_store_put (&rig->store, "op", "config", text->str);
  g_string_free (text, TRUE);
}

static uint64_t
configuration (const struct rig *rig)
{
  return rig->proxy->site != NULL ? rig->proxy->site->version : 0;
}

static const char *
own_row (struct rig *rig)
{
  return fake_store_get (&rig->store, "daemons", "d5");
}

Test (restore, a_row_that_the_store_has_lost_is_written_again)
{
  struct rig rig;

  begin (&rig, 50);
  cr_assert_not_null (own_row (&rig));
  fake_store_restore (&rig.store, COPY_VERSION);
  cr_assert_null (own_row (&rig));
  rig_run (&rig, RESTORED_MS);
  cr_assert_not_null (own_row (&rig));
}

Test (restore, a_leave_that_the_store_has_lost_is_written_again)
{
  struct rig rig;

  begin (&rig, 51);
  rig_heartbeat (&rig, "i-1", 5, 1);
  rig_leave (&rig, "i-1");
  rig_run (&rig, 50);
  cr_assert_not_null (fake_store_get (&rig.store, "targets", "d5"));
  fake_store_restore (&rig.store, COPY_VERSION);
  rig_run (&rig, RESTORED_MS);
  cr_assert_not_null (fake_store_get (&rig.store, "targets", "d5"));
}

Test (restore, a_configuration_under_a_reissued_version_is_read)
{
  struct rig rig;

  begin (&rig, 52);
  for (unsigned i = 0; i < 10; i++)
    fake_store_put (&rig.store, "other", "key", "value");
  write_configuration (&rig, 7, 1);
  rig_run (&rig, 100);
  cr_assert_eq (configuration (&rig), 7);
  fake_store_restore (&rig.store, COPY_VERSION);
  write_configuration (&rig, 8, 2);
  rig_run (&rig, RESTORED_MS);
  cr_assert_eq (configuration (&rig), 8);
}

Test (restore, a_configuration_does_not_go_back)
{
  struct rig rig;

  begin (&rig, 53);
  write_configuration (&rig, 7, 1);
  rig_run (&rig, 100);
  fake_store_restore (&rig.store, COPY_VERSION);
  write_configuration (&rig, 6, 2);
  rig_run (&rig, RESTORED_MS);
  cr_assert_eq (configuration (&rig), 7);
}

/* The store has passed the version that the daemon has read up to, so that it
 * has no cause to refuse the next read. */
Test (restore, versions_that_have_passed_the_cursor_hide_nothing)
{
  struct rig rig;

  begin (&rig, 54);
  write_configuration (&rig, 7, 1);
  rig_run (&rig, 100);
  fake_store_restore (&rig.store, COPY_VERSION);
  write_configuration (&rig, 8, 2);
  for (unsigned i = 0; i < 40; i++)
    fake_store_put (&rig.store, "other", "key", "value");
  rig_run (&rig, RESTORED_MS);
  cr_assert_eq (configuration (&rig), 8);
  cr_assert_not_null (own_row (&rig));
}

Test (restore, an_acknowledgement_of_an_earlier_era_does_not_count)
{
  struct rig rig;
  int fd;

  begin (&rig, 55);
  rig_heartbeat (&rig, "i-1", 5, 1);
  rig.store.hold_writes = true;
  fd = rig_leave (&rig, "i-1");
  rig_run (&rig, 50);
  cr_assert_eq (rig.store.held_writes->len, 1);
  fake_store_restore (&rig.store, COPY_VERSION);
  rig.store.hold_writes = false;
  rig.store.era--;
  fake_store_release_writes (&rig.store);
  rig.store.era++;
  rig_run (&rig, RESTORED_MS);
  cr_assert_not_null (fake_store_get (&rig.store, "targets", "d5"));
  cr_assert (g_str_has_prefix (rig_received (fd), "HTTP/1.1 200"));
}

Test (restore, an_answer_of_an_earlier_era_changes_nothing)
{
  struct rig rig;

  begin (&rig, 56);
  write_configuration (&rig, 7, 1);
  rig_run (&rig, 100);
  rig.store.era = 4;
  write_configuration (&rig, 8, 1);
  rig_run (&rig, 300);
  cr_assert_eq (configuration (&rig), 7);
  rig.store.era = 5;
  write_configuration (&rig, 9, 1);
  rig_run (&rig, RESTORED_MS);
  cr_assert_eq (configuration (&rig), 9);
}

/* Pages of one row, more than are read in 500 ms. */
#define UNDER_WAY_PAGES 20

Test (restore, pages_that_were_under_way_are_read_from_the_first_one_on)
{
  struct rig rig;

  rig_prepare (&rig, 57);
  rig.store.era = 5;
  rig.store.page_rows = 1;
  for (unsigned i = 10; i < 10 + UNDER_WAY_PAGES; i++)
    {
      char key[16];

      g_snprintf (key, sizeof key, "a%u", i);
      fake_store_put (&rig.store, "daemons", key, "{}");
    }
  rig_start (&rig);
  rig_run (&rig, 500);
  cr_assert_geq (rig.store.reads, 3, "one page, and two other reads");
  cr_assert_lt (rig.store.reads, UNDER_WAY_PAGES + 2, "not all pages");
  fake_store_restore (&rig.store, COPY_VERSION);
  fake_store_put (&rig.store, "daemons", "a0",
                  "{\"peer\":\"127.0.0.1:9\",\"zone\":\"z1\"}");
  fake_store_put (&rig.store, "daemons", "a3", "{}");
  rig_run (&rig, RESTORED_MS + 2500);
  cr_assert_not_null (g_hash_table_lookup (rig.proxy->roster.by_name, "a0"));
}

Test (restore, a_store_without_eras_is_used_as_before)
{
  struct rig rig;

  rig_prepare (&rig, 58);
  rig_start (&rig);
  write_configuration (&rig, 7, 1);
  rig_run (&rig, 100);
  cr_assert_eq (configuration (&rig), 7);
  cr_assert_not_null (own_row (&rig));
}

/* Identifier of the target that send_beacon() announces. */
static const char *announced_target = "";

/* Sends a beacon of the daemon "d6", whose target is up. */
static void
send_beacon (struct rig *rig,
             int fd,
             uint64_t epoch,
             uint32_t target_key,
             const struct beacon_notice *notice)
{
  static char empty[] = "";
  static char name[] = "d6";
  static char zone[] = "z1";
  static uint64_t sequence;
  struct beacon_message message = {
    .format = 1,
    .name = name,
    .zone = zone,
    .service = empty,
    .target = (char *)announced_target,
    .ip = rig->options.ip,
    .port = OTHER_PORT,
    .epoch = epoch,
    .sequence = ++sequence,
    .state = JL_TARGET_UP,
  };
  struct beacon_extension extension = { target_key };
  char datagram[1400];
  XDR xdr;

  xdrmem_create (&xdr, datagram, sizeof datagram, XDR_ENCODE);
  cr_assert (xdr_beacon_message (&xdr, &message));
  cr_assert (xdr_beacon_extension (&xdr, &extension));
  cr_assert (xdr_beacon_notice (&xdr, (struct beacon_notice *)notice));
  rig_send_datagram (rig, fd, datagram, xdr_getpos (&xdr));
  rig_run (rig, 50);
}

/* Whether a daemon was told something of a target, with this key and this
 * digest; 0 for none. */
static bool
is_told (int fd, enum jl_report_kind kind, uint32_t target_key, uint64_t digest)
{
  char datagram[2048];
  bool told = false;
  ssize_t size;

  while ((size = recv (fd, datagram, sizeof datagram, MSG_DONTWAIT)) > 0)
    {
      struct beacon_reports message = { 0 };
      XDR xdr;

      xdrmem_create (&xdr, datagram, (u_int)size, XDR_DECODE);
      if (!xdr_beacon_reports (&xdr, &message) || message.format != 3)
        message.reports.reports_len = 0;
      for (unsigned i = 0; i < message.reports.reports_len; i++)
        {
          const struct beacon_report *report = &message.reports.reports_val[i];
          uint64_t content = report->contents.contents_len > 0
                                 ? report->contents.contents_val[0]
                                 : 0;

          told |= report->kind == kind && report->target == target_key
                  && content == digest;
        }
      xdr_free ((xdrproc_t)xdr_beacon_reports, &message);
    }
  return told;
}

/* Guards against a target that gets requests after its leave was acknowledged,
 * because its daemon was restarted and the store has lost the row. */
Test (restore, other_daemons_keep_a_leave_for_a_daemon_that_is_restarted)
{
  static const struct beacon_notice departed = { .departed = 1 };
  static const struct beacon_notice none = { 0 };
  struct rig rig;
  struct jl_member *member;
  int fd;

  begin (&rig, 59);
  fd = rig_open_datagrams (&rig, OTHER_PORT);
  send_beacon (&rig, fd, 1, 77, &departed);
  member = g_hash_table_lookup (rig.proxy->roster.by_name, "d6");
  cr_assert_not_null (member);
  cr_assert_eq (member->state, JL_TARGET_LEAVING);
  send_beacon (&rig, fd, 2, 77, &none);
  cr_assert (is_told (fd, JL_REPORT_DEPARTED, 77, 0));
  cr_assert_eq (member->state, JL_TARGET_LEAVING);
  send_beacon (&rig, fd, 2, 78, &none);
  cr_assert_eq (member->state, JL_TARGET_UP, "another incarnation");
  close (fd);
}

Test (restore, a_new_era_that_another_daemon_has_heard_of_is_looked_for)
{
  static const struct beacon_notice heard = { .store_era = 6 };
  struct rig rig;
  unsigned feeds;
  int fd;

  begin (&rig, 60);
  fd = rig_open_datagrams (&rig, OTHER_PORT);
  feeds = rig.store.feeds;
  send_beacon (&rig, fd, 1, 77, &heard);
  rig_run (&rig, 300);
  cr_assert_eq (rig.store.feeds, feeds + 1, "%u more calls",
                rig.store.feeds - feeds);
  send_beacon (&rig, fd, 1, 77, &heard);
  rig_run (&rig, 300);
  cr_assert_eq (rig.store.feeds, feeds + 1);
  close (fd);
}

/* Whether a beacon has said that the target has announced its leave. */
static bool
is_departure_announced (int fd)
{
  struct beacon_notice notice = { 0 };
  char datagram[2048];
  ssize_t size;

  while ((size = recv (fd, datagram, sizeof datagram, MSG_DONTWAIT)) > 0)
    {
      struct beacon_message message = { 0 };
      struct beacon_extension extension;
      XDR xdr;

      xdrmem_create (&xdr, datagram, (u_int)size, XDR_DECODE);
      if (xdr_beacon_message (&xdr, &message) && message.format == 1
          && xdr_beacon_extension (&xdr, &extension))
        cr_assert (xdr_beacon_notice (&xdr, &notice));
      xdr_free ((xdrproc_t)xdr_beacon_message, &message);
    }
  return notice.departed != 0;
}

/* Guards against a daemon that is killed as soon as it has acknowledged a
 * leave, before it has told others. */
Test (restore, a_leave_is_announced_before_it_is_acknowledged)
{
  struct rig rig;
  int fd;
  int leave;

  begin (&rig, 61);
  fd = rig_open_datagrams (&rig, OTHER_PORT);
  rig_add_member (&rig, "d6", "z1", "front");
  rig_heartbeat (&rig, "i-1", 5, 1);
  jl_beacon_send_soon (rig.proxy->beacon);
  rig_run (&rig, 30);
  jl_beacon_send_soon (rig.proxy->beacon);
  leave = rig_leave (&rig, "i-1");
  while (rig_received (leave)[0] == '\0')
    rig_run (&rig, 1);
  cr_assert (is_departure_announced (fd));
  close (fd);
}

/* Sends a report of the daemon "d6". */
static void
send_report (struct rig *rig, int fd, struct beacon_report *report)
{
  static char name[] = "d6";
  struct beacon_reports message = {
    .format = 3,
    .name = name,
    .reports.reports_len = 1,
    .reports.reports_val = report,
  };
  char datagram[1400];
  XDR xdr;

  xdrmem_create (&xdr, datagram, sizeof datagram, XDR_ENCODE);
  cr_assert (xdr_beacon_reports (&xdr, &message));
  rig_send_datagram (rig, fd, datagram, xdr_getpos (&xdr));
}

/* Sends a heartbeat of the target "i-1". Returns the status of the answer. */
static unsigned
send_heartbeat (struct rig *rig, unsigned born, unsigned sequence)
{
  char address[JL_ENDPOINT_TEXT_SIZE];
  unsigned status = 0;
  char *body;
  int fd;

  jl_endpoint_format (rig_at (rig, TARGET_PORT), address);
  body = g_strdup_printf ("{\"service\":\"front\",\"address\":\"%s\","
                          "\"slots\":10,\"state\":\"ready\","
                          "\"sequence\":%u,\"born\":%u}",
                          address, sequence, born);
  fd = rig_announce (rig, "i-1", body);
  rig_run (rig, 20);
  sscanf (rig_received (fd), "HTTP/1.1 %u", &status);
  close (fd);
  g_free (body);
  return status;
}

/* Starts a daemon whose target has lived before it and its predecessor, and
 * sends the target's first heartbeat. Returns a socket of the daemon "d6". */
static int
begin_after_target (struct rig *rig, unsigned host)
{
  rig_prepare (rig, host);
  rig->options.heartbeat_us = INTERVAL_MS * JL_USEC_PER_MSEC;
  rig_put_own_row (rig);
  rig_start_now (rig);
  cr_assert_eq (send_heartbeat (rig, 5, 1), 503);
  cr_assert_eq (rig->proxy->target.state, JL_TARGET_NONE);
  return rig_open_datagrams (rig, OTHER_PORT);
}

/* Tells the daemon of the target "i-1", that has begun at 5. */
static void
tell_of_target (struct rig *rig, int fd, enum jl_report_kind kind)
{
  struct beacon_report report = {
    .kind = kind,
    .target = jl_target_make_key (rig->proxy->target.name_key, "i-1", 5),
  };

  send_report (rig, fd, &report);
}

/* Guards against requests to a target that has left, from a daemon that has
 * just been restarted, also if another daemon has missed the leave. */
Test (restore, a_target_of_which_others_know_that_it_left_is_never_used)
{
  struct rig rig;
  int fd = begin_after_target (&rig, 62);

  tell_of_target (&rig, fd, JL_REPORT_SERVING);
  rig_run (&rig, 10);
  tell_of_target (&rig, fd, JL_REPORT_DEPARTED);
  send_beacon (&rig, fd, 1, 77, &(struct beacon_notice){ 0 });
  for (unsigned i = 2; i < 5; i++)
    {
      send_heartbeat (&rig, 5, i);
      rig_run (&rig, INTERVAL_MS);
      cr_assert_eq (rig.proxy->target.state, JL_TARGET_NONE);
    }
  cr_assert_eq (send_heartbeat (&rig, 6, 1), 503);
  rig_run (&rig, INTERVAL_MS);
  cr_assert_eq (send_heartbeat (&rig, 6, 2), 200);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP, "it is restarted");
  close (fd);
}

Test (restore, a_target_that_another_daemon_vouches_for_is_used_soon)
{
  struct rig rig;
  int fd = begin_after_target (&rig, 63);

  send_beacon (&rig, fd, 1, 77, &(struct beacon_notice){ 0 });
  rig_run (&rig, 100);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_NONE,
                "others say nothing of it");
  tell_of_target (&rig, fd, JL_REPORT_SERVING);
  rig_run (&rig, 100);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP);
  close (fd);
}

/* Guards against a daemon that vouches for a target of which it has not heard
 * until the other daemon's end. */
Test (restore, daemons_vouch_for_the_target_of_one_that_is_restarted)
{
  static const struct beacon_notice none = { 0 };
  struct rig rig;
  struct jl_member *member;
  int fd;

  begin (&rig, 64);
  fd = rig_open_datagrams (&rig, OTHER_PORT);
  send_beacon (&rig, fd, 1, 77, &none);
  send_beacon (&rig, fd, 2, 0, &none);
  cr_assert (is_told (fd, JL_REPORT_SERVING, 77, 0));
  send_beacon (&rig, fd, 3, 77, &none);
  cr_assert_not (is_told (fd, JL_REPORT_SERVING, 77, 0),
                 "the second one had no target");
  member = g_hash_table_lookup (rig.proxy->roster.by_name, "d6");
  member->last_beacon_us -= 3 * JL_USEC_PER_SEC;
  send_beacon (&rig, fd, 4, 77, &none);
  cr_assert_not (is_told (fd, JL_REPORT_SERVING, 77, 0),
                 "it was not heard until its end");
  close (fd);
}

/* Two late heartbeats may come together. */
Test (restore, a_daemon_that_hears_nobody_believes_heartbeats_that_go_on)
{
  struct rig rig;
  int fd = begin_after_target (&rig, 57);

  cr_assert_eq (send_heartbeat (&rig, 5, 2), 503);
  rig_run (&rig, 2000);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_NONE);
  cr_assert_eq (send_heartbeat (&rig, 5, 3), 200);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP);
  close (fd);
}

Test (restore, the_first_daemon_of_its_name_believes_its_target_at_once)
{
  struct rig rig;

  rig_prepare (&rig, 56);
  rig_start_now (&rig);
  cr_assert_eq (send_heartbeat (&rig, 5, 1), 200);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP);
}

/* Guards against a target that gets requests after its leave was acknowledged
 * while the store was away, since nobody remembers it: the daemon is killed,
 * and heartbeats that were sent before the leave arrive later. */
Test (restore, a_leave_that_nobody_remembers_is_not_undone_by_late_heartbeats)
{
  struct rig rig;
  struct rig next;
  int leave;

  rig_prepare (&rig, 55);
  rig_start (&rig);
  cr_assert_eq (send_heartbeat (&rig, 5, 1), 200);
  rig.store.away = true;
  leave = rig_leave (&rig, "i-1");
  rig_run (&rig, 900);
  cr_assert (g_str_has_prefix (rig_received (leave), "HTTP/1.1 503"));
  close (leave);
  rig_prepare (&next, 54);
  next.options.heartbeat_us = INTERVAL_MS * JL_USEC_PER_MSEC;
  rig_put_own_row (&next);
  next.store.away = true;
  rig_start (&next);
  cr_assert_eq (send_heartbeat (&next, 5, 3), 503);
  rig_run (&next, 1000);
  cr_assert_eq (send_heartbeat (&next, 5, 4), 503);
  next.store.away = false;
  rig_run (&next, 2000);
  cr_assert_eq (next.proxy->target.state, JL_TARGET_NONE);
}

Test (restore, a_target_that_is_younger_than_its_daemon_is_used_at_once)
{
  struct rig rig;

  rig_prepare (&rig, 65);
  rig_start_now (&rig);
  rig.proxy->epoch = 1 * JL_USEC_PER_MSEC;
  rig_heartbeat (&rig, "i-1", 5, 1);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP);
}

/* Guards against the loss of a leave that a daemon has acknowledged as soon as
 * it was started, without a heartbeat of the target. */
Test (restore, others_hear_of_a_leave_before_the_first_heartbeat)
{
  struct rig rig;
  uint64_t digest = XXH64 ("i-7", 3, 0);
  struct beacon_report report = {
    .kind = JL_REPORT_DEPARTED,
    .contents.contents_len = 1,
    .contents.contents_val = (u_quad_t *)&digest,
  };
  struct jl_member *member;
  int fd;

  begin (&rig, 66);
  fd = rig_open_datagrams (&rig, OTHER_PORT);
  announced_target = "i-7";
  send_beacon (&rig, fd, 1, 77, &(struct beacon_notice){ 0 });
  announced_target = "";
  send_beacon (&rig, fd, 2, 0, &(struct beacon_notice){ 0 });
  send_report (&rig, fd, &report);
  rig_run (&rig, 50);
  send_beacon (&rig, fd, 3, 77, &(struct beacon_notice){ 0 });
  member = g_hash_table_lookup (rig.proxy->roster.by_name, "d6");
  cr_assert_eq (member->state, JL_TARGET_LEAVING);
  cr_assert (is_told (fd, JL_REPORT_DEPARTED, 77, 0));
  close (fd);
}

Test (restore, a_leave_before_the_first_heartbeat_is_told_before_the_answer)
{
  struct rig rig;
  int fd;
  int leave;

  begin (&rig, 67);
  fd = rig_open_datagrams (&rig, OTHER_PORT);
  rig_add_member (&rig, "d6", "z1", "front");
  leave = rig_leave (&rig, "i-1");
  while (rig_received (leave)[0] == '\0')
    rig_run (&rig, 1);
  cr_assert (is_told (fd, JL_REPORT_DEPARTED, 0, XXH64 ("i-1", 3, 0)));
  close (fd);
}

Test (restore, a_leave_ends_the_wait_for_the_word_of_others)
{
  struct rig rig;
  int fd = begin_after_target (&rig, 68);

  close (rig_leave (&rig, "i-1"));
  rig_run (&rig, 50);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_LEAVING);
  close (fd);
}
