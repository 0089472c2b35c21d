#ifndef JACKDAWLADDER_TESTS_WORLD_H
#define JACKDAWLADDER_TESTS_WORLD_H

/**
 * DOC: Several reducers over a fake of all that is around them.
 *
 * Time is virtual. Everything that is on its way is an item in one queue; a
 * run is a function of its inputs and of one seeded generator.
 */

#include "jackdawladder/core.h"

#define NODE_MAX 12
#define ZONE_COUNT_MAX 4
#define DEPTH_MAX 5
#define CHILD_MAX 4
/* After the last input, faults are over and load has stopped. */
#define QUIET_US (40 * JL_USEC_PER_SEC)
/* No new work to a target that has been gone for longer. */
#define GONE_BOUND_US (3 * JL_USEC_PER_SEC)

struct world;
struct node;

/**
 * enum input_type - what comes from outside the system
 */
enum input_type
{
  INPUT_REQUEST,
  INPUT_FREEZE,
  INPUT_CRASH,
  INPUT_CUT,
  INPUT_OUTAGE,
  INPUT_LOSS,
  INPUT_TARGET_SLOW,
  INPUT_TARGET_CRASH,
  INPUT_TARGET_LEAVE,
  INPUT_DRAIN,
  INPUT_APPLY,
  INPUT_TYPE_COUNT,
};

/**
 * struct input - one input, from a seed or from a script
 * @at_us: virtual time
 * @node: daemon or target it is about; for INPUT_CUT the first zone
 * @argument: kind of a request; for INPUT_CUT the second zone
 * @key: enum jl_key_type of a request
 * @duration_us: how long a fault lasts
 */
struct input
{
  enum input_type type;
  uint64_t at_us;
  uint32_t node;
  uint32_t argument;
  uint32_t key;
  uint64_t duration_us;
};

/**
 * struct plan - shape of a run and its inputs
 */
struct plan
{
  uint64_t seed;
  uint32_t node_count;
  uint32_t zone_count;
  uint32_t service_count;
  uint32_t switched_off;
  uint64_t length_us;
  GArray *inputs;
};

struct plan *plan_new (uint64_t seed, uint64_t length_us);
struct plan *plan_load (const char *path);
void plan_print (const struct plan *plan, GString *out);
void plan_drop (struct plan *plan);
uint64_t plan_end (const struct plan *plan);

/**
 * struct request - what its maker takes for one request
 * @runs: how often it was started at a target
 * @not_run_serial: sendings up to this one were told "not run"
 * @retries: sendings between daemons beyond the first of each call
 */
struct request
{
  uint64_t id;
  uint32_t kind;
  uint32_t runs;
  uint64_t not_run_serial;
  uint32_t retries;
};

/**
 * struct sending - one call made by a caller or by a target
 * @serial: counts up over the world
 * @path: the same each time that a repeated parent makes this call
 * @root: the sending that its tree began with
 * @told_not_run: its maker was told that this sending did not run
 */
struct sending
{
  uint64_t serial;
  uint64_t path;
  struct request *request;
  struct sending *root;
  struct run *parent;
  struct caller *caller;
  bool open;
  bool told_not_run;
  uint32_t runs;
  uint32_t sends;
  uint32_t retries;
};

/**
 * struct run - one run at a target
 */
struct run
{
  struct sending *sending;
  struct node *node;
  uint64_t life;
  uint64_t target_life;
  uint64_t work;
  uint32_t child;
  uint32_t ordinals[2 * DEPTH_MAX];
  bool over;
  bool aborted;
};

/**
 * struct exchange - one HTTP request between two daemons
 * @open: its sender still waits
 * @remote: number of the work or call at the receiver, 0 before it arrives
 */
struct exchange
{
  struct sending *sending;
  struct node *from;
  struct node *to;
  uint64_t from_life;
  uint64_t to_life;
  bool forward;
  bool open;
  uint64_t remote;
  struct jl_effect_send send;
  struct jl_effect_forward forwarded;
};

/**
 * struct caller - a caller and its one request
 */
struct caller
{
  struct request *request;
  struct sending *sending;
  enum jl_key_type key_type;
  struct jl_ticket ticket;
  uint64_t key_hash;
  uint32_t kind;
  bool poison;
  uint32_t left;
  struct node *entry;
  uint64_t entry_life;
  uint64_t call;
};

/**
 * struct edge_call - a call at the edge of one daemon
 * @exchange: it came from another daemon; else from @sending's maker
 * @out: its last sending to another daemon
 * @body: the run whose answer came with the last result
 * @body_attempt: the sending that it came with
 */
struct edge_call
{
  uint64_t number;
  struct sending *sending;
  struct exchange *exchange;
  struct exchange *out;
  struct run *body;
  struct jl_attempt_id body_attempt;
};

/**
 * struct edge_work - a work item at the edge of one daemon
 */
struct edge_work
{
  struct exchange *exchange;
  struct run *run;
};

/**
 * struct node - one daemon, its target and what surrounds them
 * @life: counts its starts; 0 while it is down for good
 * @offset_us: its clock's lead over the virtual time
 * @gone_us: when its target stopped taking work; 0 while it takes work
 */
struct node
{
  struct world *world;
  uint32_t index;
  uint32_t zone;
  struct jl_core *core;
  uint64_t life;
  uint64_t offset_us;
  uint64_t tick_us;
  uint64_t frozen_until_us;
  uint64_t blurred_until_us;
  GPtrArray *backlog;
  uint64_t next_number;
  GHashTable *calls;
  GHashTable *works;
  GHashTable *stored;
  uint64_t config_version;
  bool target_up;
  bool target_leaving;
  uint64_t target_life;
  uint64_t target_slow_until_us;
  uint64_t gone_us;
};

/**
 * struct world - one run
 * @random: the stream of random numbers of the item that happens now; each
 *          input and each life of a daemon has one, so that a run with fewer
 *          inputs differs in little else
 * @failure: what invariant was broken first, NULL while none was
 * @failure_kind: the same without its particulars
 */
struct world
{
  const struct plan *plan;
  GRand *random;
  GPtrArray *streams;
  uint64_t now_us;
  uint64_t next_order;
  uint64_t next_serial;
  uint64_t next_request;
  GSequence *queue;
  struct node nodes[NODE_MAX];
  uint64_t cut_until_us[ZONE_COUNT_MAX][ZONE_COUNT_MAX];
  uint64_t outage_until_us;
  uint64_t loss_until_us;
  uint64_t calm_from_us;
  GHashTable *claims;
  GHashTable *requests;
  GPtrArray *configs; /* by version, from 1 */
  GArray *tickets;
  GPtrArray *owned;
  GPtrArray *runs;
  GPtrArray *exchanges;
  GPtrArray *callers;
  struct jl_effects *effects;
  GString *line;
  uint64_t digest;
  uint64_t steps;
  bool trace;
  char *failure;
  const char *failure_kind;
  uint64_t done;
  uint64_t not_run;
  uint64_t unknown;
};

struct world *world_new (const struct plan *plan, bool trace);
void world_run (struct world *world);
void world_drop (struct world *world);

/* world.c, for the other files. */
void begin_stream (struct world *world, uint64_t first, uint64_t second);
uint32_t pick (struct world *world, uint32_t bound);
bool chance (struct world *world, uint32_t permille);
uint64_t between (struct world *world, uint64_t from, uint64_t to);
bool is_up (const struct node *node, uint64_t life);
bool
is_cut (const struct world *world, const struct node *a, const struct node *b);
void step (struct node *node, struct jl_event *event);
void post_event (struct node *node,
                 uint64_t life,
                 uint64_t delay_us,
                 const struct jl_event *event);

/* Whichever life of a daemon there is then. */
#define ANY_LIFE 0

/* What happens when an item's time has come. */
#define ITEM_FN(name) void (*name) (struct world *, struct node *, void *)
void
post (struct world *world, uint64_t delay_us, ITEM_FN (fire), void *argument);

/**
 * post_to - the same at one life of a daemon, held up while it is frozen
 */
void post_to (struct node *node,
              uint64_t life,
              uint64_t delay_us,
              ITEM_FN (fire),
              void *argument);

/* faults.c */
void begin_input (struct world *world, const struct input *input);
void start_node (struct node *node);
void stop_node (struct node *node);
void exit_node (struct node *node);
void fetch_config (struct node *node, struct jl_endpoint peer);

/* http.c */
void carry_out (struct node *node, const struct jl_effect *effect);
void break_exchanges (struct node *node);
void call_node (struct node *node,
                struct sending *sending,
                struct exchange *exchange,
                struct jl_event_call *event);

/* kinds.c */
#define RETRY_TOKENS 2
uint32_t kind_index (const struct node *node, uint32_t kind);
uint64_t version_of (const struct node *node);
uint32_t kind_service (uint32_t kind);
bool kind_idempotent (uint32_t kind);
uint32_t
kind_children (const struct world *world, uint32_t kind, uint32_t *children);
struct jl_config *make_config (const struct plan *plan, uint64_t version);
struct node *node_at (struct world *world, struct jl_endpoint endpoint);

/* target.c */
void begin_run (struct node *node,
                struct edge_work *work,
                const struct jl_effect_run *effect);
void abort_run (struct node *node, struct run *run);
void crash_target (struct node *node);
void child_answered (struct run *run,
                     struct sending *sending,
                     const struct jl_effect_answer *answer);

/* caller.c */
void begin_request (struct world *world, const struct input *input);
void answer_caller (struct sending *sending,
                    const struct jl_effect_answer *answer);
struct sending *new_sending (struct world *world, struct request *request);
struct request *find_request (struct world *world, uint64_t id, uint32_t kind);

/* observer.c */
void fail (struct world *world, const char *format, ...) G_GNUC_PRINTF (2, 3);
void observe_send (struct node *node, const struct exchange *exchange);
void observe_run (struct node *node, const struct edge_work *work);
void observe_told (struct sending *sending,
                   enum jl_outcome outcome,
                   enum jl_outcome alone);
void observe_answer (struct node *node,
                     const struct edge_call *call,
                     const struct jl_effect_answer *answer,
                     const struct run *body);
void observe_finish (struct node *node,
                     const struct edge_work *work,
                     const struct jl_effect_finish *finish);
void observe_step (struct node *node);
void observe_exit (struct node *node);
void observe_end (struct world *world);

#endif
