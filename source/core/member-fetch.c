/**
 * DOC: Gets newer configurations from peers, one request at a time.
 */

#include "member-impl.h"

/* A peer that has not delivered by then is given up for another one. */
#define FETCH_RETRY_US (1 * JL_USEC_PER_SEC)

static void fetch_again (void *context, struct jl_timer *timer);

static uint64_t
version_in_force (const struct jl_core *core)
{
  return core->config == NULL ? 0 : core->config->version;
}

static void
fetch_from (struct jl_core *core, struct jl_member *member)
{
  struct jl_members *members = core->members;
  struct jl_effect_fetch_config *fetch
      = &jl_emit (core, JL_EFFECT_FETCH_CONFIG)->fetch_config;

  fetch->peer = member->info.peer;
  fetch->version = member->config_version;
  members->fetch_member = member->info.identity.member;
  jl_timer_start (core->timers, &members->fetch, core->now_us + FETCH_RETRY_US,
                  fetch_again, core);
}

/*
 * A member with a newer configuration, another one than the last if there is
 * one; NULL when nobody has a newer one.
 */
static struct jl_member *
choose_peer (struct jl_core *core)
{
  GPtrArray *order = core->members->order;
  struct jl_member *last = NULL;
  guint start;

  if (order->len == 0)
    return NULL;
  start = jl_members_random (core->members, order->len);
  for (guint i = 0; i < order->len; i++)
    {
      struct jl_member *member
          = g_ptr_array_index (order, (start + i) % order->len);

      if (member->info.state != JL_MEMBER_ALIVE
          || member->config_version <= version_in_force (core))
        continue;
      if (member->info.identity.member != core->members->fetch_member)
        return member;
      last = member;
    }
  return last;
}

static void
fetch_again (void *context, struct jl_timer *timer G_GNUC_UNUSED)
{
  struct jl_core *core = context;
  struct jl_member *member = choose_peer (core);

  if (member != NULL)
    fetch_from (core, member);
}

void
jl_fetch_heard (struct jl_core *core,
                struct jl_member *member,
                uint64_t version)
{
  member->config_version = MAX (member->config_version, version);
  if (version > version_in_force (core)
      && core->members->fetch.heap_position == 0)
    fetch_from (core, member);
}

void
jl_fetch_installed (struct jl_core *core)
{
  jl_timer_stop (core->timers, &core->members->fetch);
  fetch_again (core, &core->members->fetch);
}
