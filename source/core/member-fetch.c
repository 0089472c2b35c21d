/**
 * DOC: Fetches newer configurations from peers, one request at a time.
 */

#include "member-impl.h"

/* Delay until a fetch without a result is retried, if possible elsewhere. */
#define FETCH_RETRY_US (1 * JL_USEC_PER_SEC)

static void retry_fetch (void *context, struct jl_timer *timer);

static uint64_t
installed_version (const struct jl_core *core)
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
  jl_timer_start (core->timers, &members->fetch_timeout,
                  core->now_us + FETCH_RETRY_US, retry_fetch, core);
}

/*
 * Picks an alive member with a newer configuration. The peer of the last
 * request is picked only if no other member has one.
 *
 * Return: the member, or NULL if no member has a newer configuration.
 */
static struct jl_member *
choose_peer (struct jl_core *core)
{
  GPtrArray *order = core->members->probe_order;
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
          || member->config_version <= installed_version (core))
        continue;
      if (member->info.identity.member != core->members->fetch_member)
        return member;
      last = member;
    }
  return last;
}

static void
retry_fetch (void *context, struct jl_timer *timer G_GNUC_UNUSED)
{
  struct jl_core *core = context;
  struct jl_member *member = choose_peer (core);

  if (member != NULL)
    fetch_from (core, member);
}

void
jl_fetch_version_reported (struct jl_core *core,
                           struct jl_member *member,
                           uint64_t version)
{
  member->config_version = MAX (member->config_version, version);
  if (version > installed_version (core)
      && core->members->fetch_timeout.heap_position == 0)
    fetch_from (core, member);
}

void
jl_fetch_config_installed (struct jl_core *core)
{
  jl_timer_stop (core->timers, &core->members->fetch_timeout);
  retry_fetch (core, &core->members->fetch_timeout);
}
