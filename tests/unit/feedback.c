/**
 * DOC: Entry and guards together: what the levels do to the traffic that they
 * hold back. Three reducers in virtual time: an entry, the guard of a front
 * service, and the guard of a deep service that the front may call. Targets are
 * a count of slots and a service time.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "jackdawladder/core.h"

#define HOP_US (1 * JL_USEC_PER_MSEC)
#define FRONT_SLOTS 10
#define DEEP_SLOTS 4
/* Statuses of answers that are whole, and of those that failed further down. */
#define STATUS_OK 200
#define STATUS_FAILED 503
#define CLASS_COUNT 3
#define CALLER_COUNT 3
#define ANNOUNCE_US (1 * JL_USEC_PER_SEC)

static const char document[]
    = "{ \"classes\": [\"reserve\", \"browse\", \"upload\"],"
      "  \"zones\": [{ \"name\": \"zone-a\", \"region\": \"r\" }],"
      "  \"services\": [{ \"name\": \"front\", \"retry_percent\": 10,"
      "    \"queue_wait_ms\": 50, \"cold_start_ms\": 0 },"
      "   { \"name\": \"deep\", \"retry_percent\": 10,"
      "    \"queue_wait_ms\": 50, \"cold_start_ms\": 0 }],"
      "  \"kinds\": ["
      "   { \"name\": \"reserve\", \"service\": \"front\", \"path\": \"/r\","
      "     \"class\": \"reserve\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 },"
      "   { \"name\": \"browse\", \"service\": \"front\", \"path\": \"/b\","
      "     \"class\": \"browse\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 },"
      "   { \"name\": \"upload\", \"service\": \"front\", \"path\": \"/u\","
      "     \"class\": \"upload\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 },"
      "   { \"name\": \"deep\", \"service\": \"deep\", \"path\": \"/d\","
      "     \"class\": \"upload\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 }] }";

#define DEEP_KIND 3

/**
 * enum place - the daemons
 */
enum place
{
  ENTRY,
  FRONT,
  DEEP,
  PLACE_COUNT,
};

/**
 * struct pending - an event on its way to one of them
 */
struct pending
{
  enum place place;
  uint64_t order;
  struct jl_event event;
  struct jl_message message;
};

/**
 * struct caller - calls of one kind at regular times
 */
struct caller
{
  uint32_t kind;
  uint64_t every_us;
  uint64_t from_us;
  uint64_t until_us;
};

/**
 * struct counts - answers to the calls of one class
 * @done: whole requests
 * @wasted: ran, and failed further down
 */
struct counts
{
  uint32_t done;
  uint32_t wasted;
  uint32_t refused;
  uint32_t other;
};

/**
 * struct call_note - a call of the entry, by number
 */
struct call_note
{
  uint32_t kind;
  uint32_t status;
};

/**
 * struct work_note - a work item on its way
 */
struct work_note
{
  enum place sender;
  uint64_t call;
  struct jl_attempt_id attempt;
  uint32_t status;
};

/**
 * struct world - the reducers, and what is on its way
 * @service_us: how long a run takes at the target of each daemon
 * @calls_deep: the front makes a call to the deep service in each run
 */
struct world
{
  struct jl_core *cores[PLACE_COUNT];
  struct jl_config *config;
  struct jl_effects *effects;
  GSequence *pending;
  GArray *calls;     /* struct call_note */
  GHashTable *works; /* number to struct work_note */
  uint64_t now_us;
  uint64_t next_order;
  uint64_t next_work;
  uint64_t service_us[PLACE_COUNT];
  bool calls_deep;
  struct counts counts[CLASS_COUNT];
};

static gint
compare_pending (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const struct pending *first = a;
  const struct pending *second = b;

  if (first->event.now_us != second->event.now_us)
    return first->event.now_us < second->event.now_us ? -1 : 1;
  return first->order < second->order ? -1 : 1;
}

static struct pending *
schedule (struct world *world,
          enum place place,
          const struct jl_event *event,
          uint64_t at_us)
{
  struct pending *pending = g_new0 (struct pending, 1);

  pending->place = place;
  pending->order = world->next_order++;
  pending->event = *event;
  pending->event.now_us = at_us;
  g_sequence_insert_sorted (world->pending, pending, compare_pending, NULL);
  return pending;
}

static struct jl_identity
identity_of (enum place place)
{
  struct jl_endpoint control
      = { .ip = 127U << 24 | 40U << 16 | (1 + place), .port = 7000 };

  return (struct jl_identity){ .member = jl_member_id (control), .epoch = 1 };
}

static enum place
place_of (uint64_t member)
{
  int place = ENTRY;

  while (place < PLACE_COUNT - 1 && identity_of (place).member != member)
    place++;
  return place;
}

static struct work_note *
find_work (struct world *world, uint64_t work)
{
  return g_hash_table_lookup (world->works, GSIZE_TO_POINTER (work));
}

static void
carry_send (struct world *world,
            enum place sender,
            const struct jl_effect_send *send)
{
  struct jl_event event = { .type = JL_EVENT_WORK };
  struct work_note *note = g_new0 (struct work_note, 1);

  note->sender = sender;
  note->call = send->call;
  note->attempt = send->attempt;
  event.work.work = ++world->next_work;
  event.work.attempt = send->attempt;
  event.work.kind = send->kind;
  event.work.config_version = send->config_version;
  event.work.priority = send->priority;
  event.work.invested_us = send->invested_us;
  event.work.budget_us
      = send->budget_us > HOP_US ? send->budget_us - HOP_US : 0;
  event.work.tokens = send->tokens;
  g_hash_table_insert (world->works, GSIZE_TO_POINTER (event.work.work), note);
  schedule (world, place_of (send->member), &event, world->now_us + HOP_US);
}

static void
carry_finish (struct world *world, const struct jl_effect_finish *finish)
{
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };
  const struct work_note *note = find_work (world, finish->work);

  event.call_result.call = note->call;
  event.call_result.attempt = note->attempt;
  event.call_result.result = JL_SEND_ANSWERED;
  event.call_result.outcome = finish->outcome;
  event.call_result.reason = finish->reason;
  event.call_result.no_retry = finish->no_retry;
  event.call_result.tokens = finish->tokens;
  event.call_result.report = finish->report;
  event.call_result.status = note->status;
  if (note->sender == ENTRY)
    g_array_index (world->calls, struct call_note, note->call).status
        = note->status;
  schedule (world, note->sender, &event, world->now_us + HOP_US);
  g_hash_table_remove (world->works, GSIZE_TO_POINTER (finish->work));
}

/* Ends a run at the target of @place after @delay_us. */
static void
end_run (struct world *world,
         enum place place,
         uint64_t work,
         uint32_t status,
         uint64_t delay_us)
{
  struct jl_event event = { .type = JL_EVENT_WORK_RESULT };

  find_work (world, work)->status = status;
  event.work_result.work = work;
  event.work_result.result = JL_RUN_ANSWERED;
  event.work_result.status = status;
  schedule (world, place, &event, world->now_us + delay_us);
}

static void
carry_run (struct world *world, enum place place, uint64_t work)
{
  struct jl_event call = { .type = JL_EVENT_CALL };

  if (place == DEEP || !world->calls_deep)
    {
      end_run (world, place, work, STATUS_OK, world->service_us[place]);
      return;
    }
  call.call.call = work;
  call.call.kind = DEEP_KIND;
  call.call.config_version = 1;
  call.call.parent = work;
  schedule (world, place, &call, world->now_us + world->service_us[place]);
}

static void
carry_message (struct world *world, const struct jl_effect_message *effect)
{
  struct jl_event event = { .type = JL_EVENT_MESSAGE };
  enum place place = place_of (jl_member_id (effect->to));
  struct pending *pending
      = schedule (world, place, &event, world->now_us + HOP_US);

  pending->message = effect->message;
  pending->event.message = &pending->message;
}

static void
count_answer (struct world *world, const struct jl_effect_answer *answer)
{
  struct call_note note
      = g_array_index (world->calls, struct call_note, answer->call);
  struct counts *counts = &world->counts[note.kind];

  if (answer->outcome == JL_OUTCOME_DONE && note.status == STATUS_OK)
    counts->done++;
  else if (answer->outcome == JL_OUTCOME_DONE)
    counts->wasted++;
  else if (answer->outcome == JL_OUTCOME_NOT_RUN)
    counts->refused++;
  else
    counts->other++;
}

static void
carry_answer (struct world *world,
              enum place place,
              const struct jl_effect_answer *answer)
{
  uint32_t status
      = answer->outcome == JL_OUTCOME_DONE ? STATUS_OK : STATUS_FAILED;

  if (place == ENTRY)
    count_answer (world, answer);
  else if (find_work (world, answer->call) != NULL)
    end_run (world, place, answer->call, status, 0);
}

static void
carry (struct world *world, enum place place, const struct jl_effect *effect)
{
  switch (effect->type)
    {
    case JL_EFFECT_SEND:
      carry_send (world, place, &effect->send);
      break;
    case JL_EFFECT_FINISH:
      carry_finish (world, &effect->finish);
      break;
    case JL_EFFECT_RUN:
      carry_run (world, place, effect->run.work);
      break;
    case JL_EFFECT_MESSAGE:
      carry_message (world, effect->message);
      break;
    case JL_EFFECT_ANSWER:
      carry_answer (world, place, &effect->answer);
      break;
    default:
      break;
    }
}

static void
step (struct world *world, enum place place, struct jl_event *event)
{
  event->now_us = world->now_us;
  jl_effects_clear (world->effects);
  jl_core_step (world->cores[place], event, world->effects);
  for (size_t i = 0; i < jl_effects_count (world->effects); i++)
    carry (world, place, jl_effects_get (world->effects, i));
}

/* The daemon whose timer is next. */
static enum place
next_timer (struct world *world)
{
  enum place next = ENTRY;

  for (int place = ENTRY; place < PLACE_COUNT; place++)
    if (jl_core_next_timer (world->cores[place])
        < jl_core_next_timer (world->cores[next]))
      next = place;
  return next;
}

/* Lets one event or timer happen. Return: false when none is due. */
static bool
advance (struct world *world, uint64_t end_us)
{
  GSequenceIter *first = g_sequence_get_begin_iter (world->pending);
  struct pending *pending = g_sequence_get (first);
  struct jl_event tick = { .type = JL_EVENT_TICK };
  enum place timer = next_timer (world);
  uint64_t timer_us = jl_core_next_timer (world->cores[timer]);

  if (MIN (timer_us, pending->event.now_us) > end_us)
    return false;
  if (timer_us <= pending->event.now_us)
    {
      world->now_us = MAX (world->now_us, timer_us);
      step (world, timer, &tick);
      return true;
    }
  world->now_us = pending->event.now_us;
  step (world, pending->place, &pending->event);
  g_sequence_remove (first);
  return true;
}

static void
run_until (struct world *world, uint64_t end_us)
{
  while (advance (world, end_us))
    continue;
}

static void
open_world (struct world *world)
{
  memset (world, 0, sizeof *world);
  world->effects = jl_effects_new ();
  world->pending = g_sequence_new (g_free);
  world->calls = g_array_new (FALSE, TRUE, sizeof (struct call_note));
  world->works = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  world->service_us[FRONT] = 20 * JL_USEC_PER_MSEC;
  world->service_us[DEEP] = 20 * JL_USEC_PER_MSEC;
  world->config = jl_config_new (document, strlen (document), 1, NULL);
  cr_assert_not_null (world->config);
  g_array_set_size (world->calls, 1);
  for (int place = ENTRY; place < PLACE_COUNT; place++)
    {
      struct jl_core_options options
          = { .identity = identity_of (place), .zone = "zone-a", .seed = 7 };
      struct jl_event event = { .type = JL_EVENT_CONFIG };

      world->cores[place] = jl_core_new (&options);
      event.config = world->config;
      step (world, place, &event);
      event.type = JL_EVENT_SEED;
      for (int other = ENTRY; other < place; other++)
        {
          event.seed.control = jl_member_endpoint (identity_of (other).member);
          step (world, place, &event);
        }
    }
}

static void
close_world (struct world *world)
{
  for (int place = ENTRY; place < PLACE_COUNT; place++)
    jl_core_drop (world->cores[place]);
  jl_effects_drop (world->effects);
  jl_config_drop (world->config);
  g_sequence_free (world->pending);
  g_hash_table_destroy (world->works);
  g_array_free (world->calls, TRUE);
}

static void
plan_target (struct world *world,
             enum place place,
             const char *service,
             uint32_t slots,
             uint64_t end_us)
{
  struct jl_event event = { .type = JL_EVENT_ANNOUNCE };

  g_strlcpy (event.announce.service, service, JL_NAME_SIZE);
  event.announce.slots = slots;
  event.announce.connections = 100;
  for (uint64_t at_us = 0; at_us <= end_us; at_us += ANNOUNCE_US)
    schedule (world, place, &event, at_us);
}

/* Announces the targets once a second, and makes the calls. */
static void
plan (struct world *world,
      const struct caller *callers,
      uint32_t count,
      uint64_t end_us)
{
  struct jl_event call = { .type = JL_EVENT_CALL };

  plan_target (world, FRONT, "front", FRONT_SLOTS, end_us);
  plan_target (world, DEEP, "deep", DEEP_SLOTS, end_us);
  for (uint32_t i = 0; i < count; i++)
    for (uint64_t at_us = callers[i].from_us; at_us < callers[i].until_us;
         at_us += callers[i].every_us)
      {
        struct call_note note = { .kind = callers[i].kind };

        call.call.call = world->calls->len;
        call.call.kind = note.kind;
        call.call.config_version = 1;
        g_array_append_val (world->calls, note);
        schedule (world, ENTRY, &call, at_us);
      }
}

/* Goes on to @end_us and returns the answers since the last time. */
static void
take_counts (struct world *world, uint64_t end_us, struct counts *counts)
{
  memset (world->counts, 0, sizeof world->counts);
  run_until (world, end_us);
  memcpy (counts, world->counts, sizeof world->counts);
  for (int i = 0; i < CLASS_COUNT; i++)
    cr_log_info ("until %u ms class %d: done %u wasted %u refused %u other %u",
                 (unsigned)(end_us / JL_USEC_PER_MSEC), i, counts[i].done,
                 counts[i].wasted, counts[i].refused, counts[i].other);
}

/* 500 runs a second fit; 250 of the upper classes and 900 uploads arrive. */
Test (feedback, upper_classes_are_done_and_the_slots_stay_full)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[CALLER_COUNT] = {
    { 0, 10000, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 1, 6666, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 2, 1111, 4 * JL_USEC_PER_SEC, 10 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  plan (&world, callers, CALLER_COUNT, 16 * JL_USEC_PER_SEC);
  run_until (&world, 4 * JL_USEC_PER_SEC);
  for (uint64_t second = 5; second <= 10; second++)
    {
      take_counts (&world, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].refused + counts[0].other, 0);
      cr_expect_eq (counts[1].refused + counts[1].other, 0);
      cr_expect_geq (counts[0].done + counts[1].done + counts[2].done, 450);
    }
  take_counts (&world, 12 * JL_USEC_PER_SEC, counts);
  take_counts (&world, 13 * JL_USEC_PER_SEC, counts);
  cr_expect_geq (counts[0].done + counts[1].done, 248);
  close_world (&world);
}

/* After a surge of 4 times the capacity a trickle of uploads is let in again.
 */
Test (feedback, the_lowest_class_is_back_within_two_seconds)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[] = {
    { 0, 10000, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 2, 500, 4 * JL_USEC_PER_SEC, 8 * JL_USEC_PER_SEC },
    { 2, 5000, 8 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  plan (&world, callers, G_N_ELEMENTS (callers), 16 * JL_USEC_PER_SEC);
  run_until (&world, 8 * JL_USEC_PER_SEC);
  take_counts (&world, 10 * JL_USEC_PER_SEC, counts);
  take_counts (&world, 12 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[2].refused, 0);
  cr_expect_geq (counts[2].done, 395);
  close_world (&world);
}

/* The target slows down to a fifth while demand stays. */
Test (feedback, a_slow_target_keeps_the_upper_class)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[] = {
    { 0, 20000, 2 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
    { 2, 3000, 2 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  plan (&world, callers, G_N_ELEMENTS (callers), 20 * JL_USEC_PER_SEC);
  run_until (&world, 4 * JL_USEC_PER_SEC);
  world.service_us[FRONT] = 100 * JL_USEC_PER_MSEC;
  take_counts (&world, 5 * JL_USEC_PER_SEC, counts);
  for (uint64_t second = 6; second <= 10; second++)
    {
      take_counts (&world, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].refused + counts[0].other, 0);
      cr_expect_geq (counts[0].done + counts[2].done, 90);
    }
  world.service_us[FRONT] = 20 * JL_USEC_PER_MSEC;
  run_until (&world, 12 * JL_USEC_PER_SEC);
  take_counts (&world, 14 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[2].refused, 0);
  cr_expect_geq (counts[2].done, 660);
  close_world (&world);
}

/*
 * The deep service takes 200 calls a second, the front 1,000. Of the upper
 * class 50 a second arrive, of the lowest 400.
 */
Test (feedback, what_the_deep_service_refuses_does_not_run_at_the_front)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[] = {
    { 0, 20000, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 2, 2500, 4 * JL_USEC_PER_SEC, 10 * JL_USEC_PER_SEC },
    { 2, 10000, 10 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  world.calls_deep = true;
  world.service_us[FRONT] = 5 * JL_USEC_PER_MSEC;
  plan (&world, callers, G_N_ELEMENTS (callers), 16 * JL_USEC_PER_SEC);
  run_until (&world, 4 * JL_USEC_PER_SEC);
  take_counts (&world, 5 * JL_USEC_PER_SEC, counts);
  for (uint64_t second = 6; second <= 10; second++)
    {
      take_counts (&world, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].wasted + counts[0].refused + counts[0].other, 0);
      cr_expect_geq (counts[0].done + counts[2].done, 180);
      cr_expect_leq (counts[2].wasted, 40);
    }
  run_until (&world, 12 * JL_USEC_PER_SEC);
  take_counts (&world, 14 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[2].wasted + counts[2].refused, 0);
  cr_expect_geq (counts[2].done, 195);
  close_world (&world);
}
