/**
 * DOC: Placement by two random choices.
 */

#include "place.h"

/* What an answer said of a member's level holds this long. */
#define LEVEL_FRESH_US (500 * JL_USEC_PER_MSEC)

struct jl_place
{
  GPtrArray *candidates;
};

struct jl_place *
jl_place_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_place *place = g_new0 (struct jl_place, 1);

  place->candidates = g_ptr_array_new ();
  return place;
}

void
jl_place_drop (struct jl_place *place)
{
  g_ptr_array_free (place->candidates, TRUE);
  g_free (place);
}

static bool
was_tried (const struct jl_call *call, uint64_t member)
{
  for (uint32_t i = 0; i < call->tried_count; i++)
    if (call->tried[i] == member)
      return true;
  return false;
}

static bool
refuses (struct jl_core *core,
         const struct jl_member *member,
         uint32_t priority)
{
  return core->options.mode == JL_CORE_FULL && member->level_us > 0
         && member->level_us + LEVEL_FRESH_US >= core->now_us
         && priority >= member->level;
}

static uint32_t
load_of (const struct jl_member *member)
{
  return member->load_permille
         + 1000 * member->in_flight / MAX (member->info.slots, 1);
}

enum jl_place_verdict
jl_place_choose (struct jl_core *core,
                 const struct jl_call *call,
                 struct jl_member **member)
{
  GPtrArray *candidates = core->place->candidates;
  uint32_t service = call->config->kinds[call->kind].service;
  struct cds_list_head *members = jl_members_of_service (core, service);
  struct jl_member *each;
  struct jl_member *other;
  bool refused = false;

  if (members == NULL)
    return JL_PLACE_NO_TARGET;
  g_ptr_array_set_size (candidates, 0);
  cds_list_for_each_entry (each, members, by_service)
  {
    if (!jl_member_usable (core, each)
        || was_tried (call, each->info.identity.member))
      continue;
    if (refuses (core, each, call->priority))
      refused = true;
    else
      g_ptr_array_add (candidates, each);
  }
  if (candidates->len == 0)
    return refused ? JL_PLACE_REFUSED : JL_PLACE_NO_TARGET;
  *member
      = g_ptr_array_index (candidates, jl_random_below (core, candidates->len));
  other
      = g_ptr_array_index (candidates, jl_random_below (core, candidates->len));
  if (load_of (other) < load_of (*member))
    *member = other;
  return JL_PLACE_CHOSEN;
}

void
jl_place_sent (struct jl_core *core G_GNUC_UNUSED, struct jl_member *member)
{
  member->in_flight++;
}

void
jl_place_result (struct jl_core *core,
                 struct jl_member *member,
                 const struct jl_event_call_result *event)
{
  if (member->in_flight > 0)
    member->in_flight--;
  if (event->result != JL_SEND_ANSWERED)
    return;
  member->load_permille = event->report.load_permille;
  for (uint32_t i = 0; i < event->report.count; i++)
    if (event->report.items[i].service == member->service)
      {
        member->level = event->report.items[i].level;
        member->level_us = core->now_us;
      }
}
