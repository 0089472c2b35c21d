/**
 * DOC: Calls for each run, kept in the store for the next incarnation of this
 * daemon.
 */

#include "proxy/learned.h"

#include "json.h"
#include "proxy/hooks.h"

#include <math.h>
#include <string.h>

/* Minimum time between two writes, and between the start and the first one. */
#define WRITE_PERIOD_US (10 * JL_USEC_PER_SEC)
#define FIRST_WRITE_US (3 * JL_USEC_PER_SEC)
/* Numbers in an entry of a row: route of the run, route of the call, calls for
 * 1000 runs. */
#define ENTRY_NUMBERS 3
/* Most calls that a run can make. */
#define CALLS_MAX UINT64_C (100)

/* Whether no other daemon of the same service in the zone comes before this
 * one. */
static bool
is_first_of_service (const struct jl_proxy *proxy)
{
  const GPtrArray *members = proxy->roster.members;
  const struct jl_member *self = proxy->self;

  for (guint i = 0; i < members->len; i++)
    {
      const struct jl_member *other = g_ptr_array_index (members, i);

      if (!other->in_other_zone && strcmp (other->service, self->service) == 0
          && strcmp (other->name, self->name) < 0
          && jl_member_is_alive (other, jl_now ()))
        return false;
    }
  return true;
}

bool
jl_learned_is_due (const struct jl_proxy *proxy)
{
  const struct jl_learned *learned = &proxy->learned;
  uint64_t due_us = learned->written_us > 0
                        ? learned->written_us + WRITE_PERIOD_US
                        : proxy->started_us + FIRST_WRITE_US;

  return jl_now () >= due_us
         && jl_fanout_differs (proxy->self->fanout, proxy->self->fanout_count,
                               learned->written, learned->written_count)
         && is_first_of_service (proxy);
}

struct json_object *
jl_learned_list (struct jl_proxy *proxy)
{
  struct jl_learned *learned = &proxy->learned;
  struct json_object *list = json_object_new_array ();

  learned->written_us = jl_now ();
  learned->written_count = proxy->self->fanout_count;
  for (unsigned i = 0; i < learned->written_count; i++)
    {
      const struct jl_fanout_entry *entry = &proxy->self->fanout[i];
      struct json_object *numbers = json_object_new_array ();

      learned->written[i] = *entry;
      json_object_array_add (numbers, json_object_new_int64 (entry->run));
      json_object_array_add (numbers, json_object_new_int64 (entry->call));
      json_object_array_add (
          numbers, json_object_new_int64 (lround (entry->calls * 1000)));
      json_object_array_add (list, numbers);
    }
  return list;
}

/* Reads number @index of an entry, from 1 to @max. */
static bool
read_number (struct json_object *numbers,
             size_t index,
             uint64_t max,
             uint64_t *number)
{
  return jl_json_read_integer (json_object_array_get_idx (numbers, index), max,
                               number)
         && *number > 0;
}

/* Returns false if an entry of a row is malformed. */
static bool
read_entry (struct json_object *numbers, struct jl_fanout_entry *entry)
{
  uint64_t run;
  uint64_t call;
  uint64_t calls_milli;

  if (!json_object_is_type (numbers, json_type_array)
      || json_object_array_length (numbers) != ENTRY_NUMBERS
      || !read_number (numbers, 0, UINT32_MAX, &run)
      || !read_number (numbers, 1, UINT32_MAX, &call)
      || !read_number (numbers, 2, CALLS_MAX * 1000, &calls_milli))
    return false;
  entry->run = (uint32_t)run;
  entry->call = (uint32_t)call;
  entry->calls = (double)calls_milli / 1000;
  return true;
}

void
jl_learned_restore (struct jl_proxy *proxy, struct json_object *list)
{
  unsigned restored = 0;
  unsigned read = 0;
  size_t count;

  if (!json_object_is_type (list, json_type_array)
      || JL_TEST_DISABLED ("learned"))
    return;
  count = json_object_array_length (list);
  for (size_t i = 0; i < count && read < JL_MEMBER_FANOUT_MAX; i++)
    {
      struct jl_fanout_entry entry;

      if (!read_entry (json_object_array_get_idx (list, i), &entry))
        continue;
      read++;
      restored += jl_fanout_restore (&proxy->fanout, &entry);
    }
  if (restored == 0)
    return;
  proxy->self->fanout_count = jl_fanout_list (
      &proxy->fanout, proxy->self->fanout, JL_MEMBER_FANOUT_MAX);
  jl_record (JL_RECORD_CHANGE, JL_RECORD_CALLS_RESTORED,
             "restored=%u of=%zu service=%s", restored, count,
             proxy->self->service);
  jl_beacon_send_soon (proxy->beacon);
}
