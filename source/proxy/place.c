/**
 * DOC: Estimates the call tree of a request, and chooses the daemon that a
 * request is sent to.
 */

#include "proxy/place.h"

#include "policy/load-shedder.h"

#include <string.h>

/* Depth of calls at which the estimate stops. */
#define DEPTH_MAX 10
/* Services with fewer runs for each request are left out of the estimate. */
#define RUNS_MIN 0.02
/* A target's load is multiplied by 1 + FAILURE_LOAD_FACTOR * failure rate. */
#define FAILURE_LOAD_FACTOR 10.0
/* Failure rate at which a target in the preferred zone loses its
 * preference over targets of other zones. */
#define FAILURE_RATE_MAX 0.2
/* Difference from the lowest failure rate of the service at which a target
 * counts as failing although all fail. */
#define FAILURE_RATE_DIFFERENCE 0.15
/* Share of the candidates' mean capacity below which a target may get nothing
 * for long. Requests that it answers are needed to learn that its limit has
 * ended. */
#define LOW_CAPACITY_SHARE 0.125
/* Time in which the daemons of a zone together send such a target a request. */
#define NEGLECT_US (2 * JL_USEC_PER_SEC)

/* Adds @runs to the node of @service below @parent. Returns the node's index,
 * or JL_NONE if the tree is full. */
static unsigned
add_node (struct jl_call_tree *tree,
          const char *service,
          double runs,
          unsigned parent)
{
  struct jl_call_node *node = tree->nodes;

  for (unsigned i = 0; i < tree->count; i++, node++)
    if (node->parent == parent && strcmp (node->service, service) == 0)
      {
        node->runs += runs;
        return i;
      }
  if (tree->count == JL_CALL_TREE_NODES_MAX)
    return JL_NONE;
  node->service = g_intern_string (service);
  node->runs = runs;
  node->parent = parent;
  return tree->count++;
}

/**
 * struct call_sum - calls of one route by a run, summed over the daemons of a
 * service
 * @call: key of the call's route
 * @sum: sum of the calls for each run
 */
struct call_sum
{
  uint32_t call;
  double sum;
};

/* Sums up the calls that a run of route @run at @service makes, as estimated by
 * the daemons of the service. Sets *@daemons to the number of daemons with an
 * estimate; dividing by it gives the means. Returns the number of @sums. */
static unsigned
sum_fanout (const struct jl_roster *roster,
            const char *service,
            uint32_t run,
            struct call_sum *sums,
            unsigned *daemons)
{
  unsigned count = 0;

  *daemons = 0;
  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);
      bool has_estimate = false;

      if (strcmp (member->service, service) != 0)
        continue;
      for (unsigned j = 0; j < member->fanout_count; j++)
        {
          const struct jl_fanout_entry *entry = &member->fanout[j];
          unsigned k = 0;

          if (entry->run != run)
            continue;
          has_estimate = true;
          while (k < count && sums[k].call != entry->call)
            k++;
          if (k == JL_FANOUT_ROUTES_MAX)
            continue;
          if (k == count)
            sums[count++] = (struct call_sum){ entry->call, 0 };
          sums[k].sum += entry->calls;
        }
      if (has_estimate)
        (*daemons)++;
    }
  return count;
}

/* Adds the runs of a request or call by @route to the tree, and then those of
 * the calls that these runs make. */
static void
expand_route (const struct jl_roster *roster,
              const struct jl_site *site,
              const struct jl_route *route,
              double runs,
              unsigned parent,
              unsigned depth,
              struct jl_call_tree *tree)
{
  double weights = jl_route_weight (route);

  for (unsigned i = 0; i < route->split_count && weights > 0; i++)
    {
      const struct jl_split *split = &route->split[i];
      double part_runs = runs * split->weight / weights;
      struct call_sum sums[JL_FANOUT_ROUTES_MAX];
      unsigned daemons;
      unsigned count;
      unsigned node;

      if (part_runs < RUNS_MIN)
        continue;
      node = add_node (tree, split->service, part_runs, parent);
      if (node == JL_NONE)
        return;
      count = sum_fanout (roster, split->service, route->key, sums, &daemons);
      for (unsigned j = 0; j < count && depth < DEPTH_MAX; j++)
        {
          const struct jl_route *call
              = jl_site_route_by_key (site, sums[j].call);

          if (call != NULL)
            expand_route (roster, site, call, part_runs * sums[j].sum / daemons,
                          node, depth + 1, tree);
        }
    }
}

void
jl_call_tree_estimate (const struct jl_roster *roster,
                       const struct jl_site *site,
                       const struct jl_route *route,
                       struct jl_call_tree *tree)
{
  tree->count = 0;
  expand_route (roster, site, route, 1, JL_NONE, 0, tree);
}

double
jl_call_tree_runs (const struct jl_call_tree *tree, const char *service)
{
  double runs = 0;

  for (unsigned i = 0; i < tree->count; i++)
    if (strcmp (tree->nodes[i].service, service) == 0)
      runs += tree->nodes[i].runs;
  return runs;
}

static bool
was_tried (const struct jl_member *member,
           struct jl_member *const *tried,
           unsigned tried_count)
{
  for (unsigned i = 0; i < tried_count; i++)
    if (tried[i] == member)
      return true;
  return false;
}

/* Returns the mean capacity of a slot in requests a second, over the targets of
 * a service. */
static double
mean_slot_rate (const struct jl_roster *roster, const char *service)
{
  double capacity = 0;
  double slots = 0;

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (member->capacity <= 0 || strcmp (member->service, service) != 0)
        continue;
      capacity += member->capacity;
      slots += member->limit;
    }
  return slots > 0 ? capacity / slots : 1;
}

/* Returns the capacity of a target, reduced if it fails requests. A target
 * whose capacity is not known yet counts as an average one. */
static double
effective_capacity (const struct jl_member *member, double slot_rate)
{
  double capacity = member->capacity > 0 ? member->capacity
                                         : slot_rate * MAX (member->limit, 1);

  return capacity / (1 + FAILURE_LOAD_FACTOR * member->failure_rate);
}

/**
 * struct candidate - a daemon that a request may be sent to
 * @capacity: effective capacity of its target
 */
struct candidate
{
  struct jl_member *member;
  double capacity;
};

/**
 * struct candidates - daemons from which one is chosen
 * @list: array of struct candidate
 * @capacity: sum of their capacities
 * @preference: of all of them; those with a lower one are left out
 */
struct candidates
{
  GArray *list;
  double capacity;
  unsigned preference;
};

/* Returns the failure rate from which on a target counts as failing. If the
 * targets of all zones fail alike, none of them is better for being elsewhere,
 * and requests must not cross zones for it. */
static double
failing_from (const struct jl_roster *roster,
              const char *service,
              uint64_t now_us)
{
  double lowest = 1;

  if (!roster->uses_load_reports)
    return FAILURE_RATE_MAX;
  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (member->failure_rate < lowest
          && jl_member_accepts_work (member, service, now_us))
        lowest = member->failure_rate;
    }
  return MAX (FAILURE_RATE_MAX, lowest + FAILURE_RATE_DIFFERENCE);
}

/* Sound targets of the preferred zone come first, then sound ones of others. */
static unsigned
preference_of (const struct jl_member *member,
               const char *zone,
               double failing_rate)
{
  if (member->failure_rate >= failing_rate)
    return 0;
  return strcmp (member->zone, zone) == 0 ? 2 : 1;
}

static void
add_candidate (struct candidates *candidates,
               struct jl_member *member,
               double slot_rate,
               unsigned preference)
{
  struct candidate candidate
      = { member, effective_capacity (member, slot_rate) };

  if (preference > candidates->preference)
    {
      g_array_set_size (candidates->list, 0);
      candidates->capacity = 0;
      candidates->preference = preference;
    }
  if (preference < candidates->preference)
    return;
  g_array_append_val (candidates->list, candidate);
  candidates->capacity += candidate.capacity;
}

/* Removes a candidate, chosen at random with a probability in proportion to its
 * capacity. */
static struct candidate
take_candidate (struct candidates *candidates)
{
  double draw = g_random_double () * candidates->capacity;
  struct candidate taken;
  guint i = 0;

  for (; i + 1 < candidates->list->len; i++)
    {
      draw -= g_array_index (candidates->list, struct candidate, i).capacity;
      if (draw < 0)
        break;
    }
  taken = g_array_index (candidates->list, struct candidate, i);
  g_array_remove_index_fast (candidates->list, i);
  candidates->capacity -= taken.capacity;
  return taken;
}

/* Returns the share of a target's slots that the requests of this entry take.
 * Failures count as additional load. */
static double
load_of (const struct jl_member *member)
{
  return (double)member->outstanding / MAX (member->limit, 1)
         * (1 + FAILURE_LOAD_FACTOR * member->failure_rate);
}

/* Compares the load reports of two candidates. Returns 0 if they do not decide.
 */
static int
compare_reports (const struct jl_roster *roster,
                 const struct candidate *first,
                 const struct candidate *second,
                 uint64_t now_us)
{
  const struct jl_load_view *a = &first->member->load;
  const struct jl_load_view *b = &second->member->load;

  if (!roster->uses_load_reports || !jl_load_view_is_fresh (a, now_us)
      || !jl_load_view_is_fresh (b, now_us))
    return 0;
  return jl_load_view_compare (a, b, now_us, g_random_double ());
}

/*
 * Chooses the less loaded one of two candidates that are drawn at random. The
 * best one of all would be the same for all entries, which see the same beacons
 * and have few requests of their own at each target. One whose capacity is far
 * below the first one's is rarely compared with it, however idle it is: all
 * entries together would send it too much.
 *
 * Where their load reports tell that a request would wait, the expected waits
 * decide. The draw by capacity already allows for different speeds.
 */
static struct jl_member *
choose_loaded_least (struct candidates *candidates,
                     const struct jl_roster *roster,
                     uint64_t now_us)
{
  struct candidate first = take_candidate (candidates);
  struct candidate second;
  int order;

  if (candidates->list->len == 0)
    return first.member;
  second = take_candidate (candidates);
  if (second.capacity < first.capacity * g_random_double ())
    return first.member;
  order = compare_reports (roster, &first, &second, now_us);
  if (order != 0)
    return order > 0 ? second.member : first.member;
  return load_of (second.member) < load_of (first.member) ? second.member
                                                          : first.member;
}

static unsigned
count_local_daemons (const struct jl_roster *roster, uint64_t now_us)
{
  unsigned count = 0;

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (!member->in_other_zone && jl_member_is_alive (member, now_us))
        count++;
    }
  return count;
}

/* Returns a candidate of low capacity to which this daemon has sent nothing for
 * its part of the time, NULL if there is none. */
static struct jl_member *
find_neglected (const struct candidates *candidates,
                const struct jl_roster *roster,
                uint64_t now_us)
{
  double low
      = LOW_CAPACITY_SHARE * candidates->capacity / candidates->list->len;

  for (guint i = 0; i < candidates->list->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates->list, struct candidate, i);

      if (candidate->capacity < low
          && now_us >= candidate->member->asked_us
                           + NEGLECT_US * count_local_daemons (roster, now_us))
        return candidate->member;
    }
  return NULL;
}

static struct jl_member *
choose_candidate (struct candidates *candidates,
                  const struct jl_roster *roster,
                  uint64_t now_us)
{
  struct jl_member *neglected;

  if (candidates->list->len == 0)
    return NULL;
  neglected = find_neglected (candidates, roster, now_us);
  return neglected != NULL ? neglected
                           : choose_loaded_least (candidates, roster, now_us);
}

struct jl_member *
jl_place_choose_daemon (const struct jl_roster *roster,
                        const char *service,
                        const char *zone,
                        struct jl_member *const *tried,
                        unsigned tried_count,
                        uint64_t now_us)
{
  struct candidates candidates
      = { .list = g_array_new (FALSE, FALSE, sizeof (struct candidate)) };
  double slot_rate = mean_slot_rate (roster, service);
  double failing_rate = failing_from (roster, service, now_us);
  struct jl_member *chosen;

  /* A target that has not answered yet is probably cold. */
  if (roster->uses_load_reports)
    slot_rate /= JL_COLD_HOLD_FACTOR;
  for (guint i = 0; i < roster->members->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (!jl_member_accepts_work (member, service, now_us)
          || was_tried (member, tried, tried_count))
        continue;
      add_candidate (&candidates, member, slot_rate,
                     preference_of (member, zone, failing_rate));
    }
  chosen = choose_candidate (&candidates, roster, now_us);
  g_array_free (candidates.list, TRUE);
  return chosen;
}
