/**
 * DOC: Admission at the guard.
 */

#include "admit.h"

#include "guard.h"

/* Waiting items for each slot. */
#define QUEUE_PER_SLOT 2

struct jl_admit
{
  uint32_t slots;
  uint32_t running;
  uint32_t waiting;
  struct cds_list_head queue;
};

struct jl_admit *
jl_admit_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_admit *admit = g_new0 (struct jl_admit, 1);

  CDS_INIT_LIST_HEAD (&admit->queue);
  return admit;
}

void
jl_admit_drop (struct jl_admit *admit)
{
  g_free (admit);
}

/* Whether @a goes before @b. */
static bool
goes_before (const struct jl_work *a, const struct jl_work *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->invested_us > b->invested_us;
}

static void
enqueue (struct jl_admit *admit, struct jl_work *work)
{
  struct jl_work *each;

  admit->waiting++;
  cds_list_for_each_entry_reverse (each, &admit->queue, queue)
  {
    if (!goes_before (work, each))
      {
        cds_list_add (&work->queue, &each->queue);
        return;
      }
  }
  cds_list_add (&work->queue, &admit->queue);
}

void
jl_admit_remove (struct jl_core *core, struct jl_work *work)
{
  cds_list_del_init (&work->queue);
  core->admit->waiting--;
}

static void
run_waiting (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;

  while (admit->running < admit->slots && !cds_list_empty (&admit->queue))
    {
      struct jl_work *work
          = cds_list_first_entry (&admit->queue, struct jl_work, queue);

      jl_admit_remove (core, work);
      if (core->now_us >= work->deadline_us)
        {
          jl_guard_refuse (core, work, JL_REASON_DEADLINE, 0);
          continue;
        }
      admit->running++;
      jl_guard_run (core, work);
    }
}

void
jl_admit_slots (struct jl_core *core, uint32_t slots)
{
  core->admit->slots
      = core->options.mode == JL_CORE_FORWARD && slots > 0 ? G_MAXINT : slots;
  run_waiting (core);
}

void
jl_admit_arrive (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;
  struct jl_work *last;

  enqueue (admit, work);
  run_waiting (core);
  if (admit->waiting <= admit->slots * QUEUE_PER_SLOT)
    return;
  last = cds_list_entry (admit->queue.prev, struct jl_work, queue);
  jl_admit_remove (core, last);
  jl_guard_refuse (core, last, JL_REASON_OVERLOAD, jl_admit_retry_after (core));
}

void
jl_admit_done (struct jl_core *core,
               struct jl_work *work G_GNUC_UNUSED,
               uint64_t latency_us G_GNUC_UNUSED)
{
  core->admit->running--;
  run_waiting (core);
}

void
jl_admit_refuse_all (struct jl_core *core, enum jl_reason reason)
{
  struct jl_work *work;
  struct jl_work *next;

  cds_list_for_each_entry_safe (work, next, &core->admit->queue, queue)
  {
    jl_admit_remove (core, work);
    jl_guard_refuse (core, work, reason, jl_admit_retry_after (core));
  }
}

uint32_t
jl_admit_level (struct jl_core *core G_GNUC_UNUSED)
{
  return JL_PRIORITY_COUNT;
}

uint32_t
jl_admit_load (struct jl_core *core)
{
  const struct jl_admit *admit = core->admit;

  return 1000 * (admit->running + admit->waiting) / MAX (admit->slots, 1);
}

uint32_t
jl_admit_retry_after (struct jl_core *core)
{
  return 500 + jl_random_below (core, 1000);
}

uint32_t
jl_admit_running (struct jl_core *core)
{
  return core->admit->running;
}

uint32_t
jl_admit_waiting (struct jl_core *core)
{
  return core->admit->waiting;
}

void
jl_admit_dump (struct jl_core *core, GString *out)
{
  const struct jl_admit *admit = core->admit;

  g_string_append_printf (out,
                          "{\"slots\":%u,\"running\":%u,\"waiting\":%u,"
                          "\"level\":%u}",
                          admit->slots, admit->running, admit->waiting,
                          jl_admit_level (core));
}
