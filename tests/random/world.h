#ifndef JACKDAWLADDER_TESTS_WORLD_H
#define JACKDAWLADDER_TESTS_WORLD_H

/**
 * DOC: Simulation of several reducers with a fake network, platform, targets
 * and callers.
 *
 * Time is virtual. Every pending event is an item in one queue ordered by time.
 * A simulation run depends only on its inputs and on the seed of the random
 * numbers.
 */

#include "jackdawladder/core.h"

#define NODE_MAX 12
#define ZONE_COUNT_MAX 4
#define DEPTH_MAX 5
#define CHILD_MAX 4
/* Time without load or faults that a run continues after its last input. */
#define QUIET_PERIOD_US (40 * JL_USEC_PER_SEC)
/* A target that has been unavailable for longer must not be sent new work. */
#define UNAVAILABLE_MAX_US (3 * JL_USEC_PER_SEC)

struct world;
struct node;

/**
 * enum input_type - type of an external input: a request or a fault
 */
enum input_type
{
  INPUT_REQUEST,
  INPUT_FREEZE,
  INPUT_CRASH,
  INPUT_PARTITION,
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
 * struct input - one input, drawn from a seed or read from a script
 * @at_us: virtual time of the input
 * @node: daemon or target that is affected; for INPUT_PARTITION the first zone
 * @argument: kind of a request; for INPUT_PARTITION the second zone
 * @key: enum jl_key_type of a request
 * @duration_us: duration of a fault; a request with a duration above 0 crashes
 *               each target that runs it
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
 * struct plan - topology, length and inputs of a simulation run
 * @switched_off: bit mask of the mechanisms that the reducers leave out
 * @length_us: virtual time during which load and faults occur
 * @inputs: struct input, in order of time
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

/**
 * plan_new - draws a plan from a seed
 */
struct plan *plan_new (uint64_t seed, uint64_t length_us);

/**
 * plan_load - reads a plan from a script; ends the process on a syntax error
 */
struct plan *plan_load (const char *path);

/**
 * plan_print - appends a plan in the format that plan_load() reads
 */
void plan_print (const struct plan *plan, GString *out);
void plan_drop (struct plan *plan);

/**
 * plan_end - returns the virtual time at which the last input has ended
 */
uint64_t plan_end (const struct plan *plan);

/**
 * struct request - a request, as its caller identifies it
 * @runs: number of times that a target started to run it
 * @not_run_serial: all sendings with a serial up to this one were reported as
 *                  "not run"
 * @retries: number of sends between daemons after the first send of each call
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
 * @serial: sequence number, unique in the world
 * @path_hash: hash of the position in the call tree; a parent that runs again
 *             makes the call with the same hash
 * @root: the sending at the root of the call tree
 * @open: whether the caller still waits for the answer
 * @reported_not_run: whether the caller was told that this sending did not run
 * @sends: number of sends between daemons for this call
 * @retries: for a root, number of repeated sends in its call tree
 */
struct sending
{
  uint64_t serial;
  uint64_t path_hash;
  struct request *request;
  struct sending *root;
  struct run *parent;
  struct caller *caller;
  bool open;
  bool reported_not_run;
  uint32_t runs;
  uint32_t sends;
  uint32_t retries;
};

/**
 * struct run - one execution of a request at a target
 * @work: number of the work item at the daemon
 * @child: index of the next child call
 * @ordinals: number of calls made so far, by kind of the child
 * @ended: whether a result was reported to the daemon
 */
struct run
{
  struct sending *sending;
  struct node *node;
  uint64_t generation;
  uint64_t target_generation;
  uint64_t work;
  uint32_t child;
  uint32_t ordinals[2 * DEPTH_MAX];
  bool ended;
  bool aborted;
};

/**
 * struct exchange - one HTTP request between two daemons
 * @open: whether the sender still waits for the answer
 * @remote: number of the work item or call at the receiver, 0 before it arrives
 */
struct exchange
{
  struct sending *sending;
  struct node *from;
  struct node *to;
  uint64_t from_generation;
  uint64_t to_generation;
  bool forward;
  bool open;
  uint64_t remote;
  struct jl_effect_send send;
  struct jl_effect_forward forwarded;
};

/**
 * struct caller - a caller that makes one request, possibly several times
 * @poison: whether the request crashes each target that runs it
 * @retries_left: number of times that the request may still be sent again
 * @entry: the daemon that got the last sending
 * @call: number of the call at @entry, 0 before it arrives
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
  uint32_t retries_left;
  struct node *entry;
  uint64_t entry_generation;
  uint64_t call;
};

/**
 * struct edge_call - a call in the fake HTTP layer of one daemon
 * @exchange: the exchange that forwarded the call from another daemon, NULL
 *            for a call made directly by a caller or a target
 * @last_exchange: the last exchange that sent this call to another daemon
 * @body: the run whose answer came with the last result
 * @body_attempt: the attempt whose result carried @body
 */
struct edge_call
{
  uint64_t number;
  struct sending *sending;
  struct exchange *exchange;
  struct exchange *last_exchange;
  struct run *body;
  struct jl_attempt_id body_attempt;
};

/**
 * struct edge_work - a work item in the fake HTTP layer of one daemon
 */
struct edge_work
{
  struct exchange *exchange;
  struct run *run;
};

/**
 * struct node - one daemon, its target and their fake environment
 * @generation: number of times that the daemon was started
 * @offset_us: how far the clock of the daemon is ahead of the virtual time
 * @tick_us: earliest scheduled tick, by the clock of the daemon; 0 for none
 * @stale_until_us: until then the daemon may act on an outdated view of other
 *                  daemons
 * @backlog: items that became due while the daemon was frozen
 * @next_number: last number given to a call or a work item
 * @stored: ticket, as text, to the run whose answer the daemon keeps
 * @config_version: highest configuration version seen in force, 0 for none
 * @target_generation: number of times that the target was started
 * @unavailable_since_us: when the target stopped accepting work; 0 while it
 *                        accepts work
 */
struct node
{
  struct world *world;
  uint32_t index;
  uint32_t zone;
  struct jl_core *core;
  uint64_t generation;
  uint64_t offset_us;
  uint64_t tick_us;
  uint64_t frozen_until_us;
  uint64_t stale_until_us;
  GPtrArray *backlog;
  uint64_t next_number;
  GHashTable *calls;
  GHashTable *works;
  GHashTable *stored;
  uint64_t config_version;
  bool target_up;
  bool target_leaving;
  uint64_t target_generation;
  uint64_t target_slow_until_us;
  uint64_t unavailable_since_us;
};

/**
 * struct world - state of a simulation run
 * @random: random number stream of the item being processed; each input and
 *          each start of a daemon has its own stream, so a run with fewer
 *          inputs otherwise changes little
 * @stable_from_us: from then on, past network faults no longer make the
 *                membership view of any daemon outdated
 * @claims: hash of an idempotency key to the ticket that owns it
 * @configs: configurations by version, from 1
 * @tickets: tickets that callers got and haven't used
 * @owned: allocations that are freed with the world
 * @digest: hash of all events and effects, in order
 * @failure: description of the first violated invariant, NULL if there is none
 * @failure_kind: format string of @failure, without the values
 * @done: number of calls that their caller saw end as done
 * @not_run: number of calls that their caller saw end as not run
 * @unknown: number of calls that their caller saw end as unknown
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
  uint64_t partitioned_until_us[ZONE_COUNT_MAX][ZONE_COUNT_MAX];
  uint64_t outage_until_us;
  uint64_t loss_until_us;
  uint64_t stable_from_us;
  GHashTable *claims;
  GHashTable *requests;
  GPtrArray *configs;
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

/* world.c */

/**
 * begin_stream - starts a random number stream
 *
 * The stream depends on the seed of the run, @first and @second only.
 */
void begin_stream (struct world *world, uint64_t first, uint64_t second);
uint32_t random_below (struct world *world, uint32_t bound);

/**
 * random_chance - returns true with a probability in thousandths
 */
bool random_chance (struct world *world, uint32_t permille);

/**
 * random_between - returns a random number from @from to @to inclusive
 */
uint64_t random_between (struct world *world, uint64_t from, uint64_t to);

/**
 * is_up - whether a daemon runs and was not restarted after @generation
 */
bool is_up (const struct node *node, uint64_t generation);

/**
 * is_partitioned - whether the zones of two daemons cannot reach each other
 */
bool is_partitioned (const struct world *world,
                     const struct node *a,
                     const struct node *b);

/**
 * step - gives an event to the reducer of a daemon and executes its effects
 */
void step (struct node *node, struct jl_event *event);

/**
 * schedule_event - schedules an event for the reducer of a daemon
 */
void schedule_event (struct node *node,
                     uint64_t generation,
                     uint64_t delay_us,
                     const struct jl_event *event);

/* Matches every start of a daemon. */
#define ANY_GENERATION 0

/* Declares the function that is called when an item is due. */
#define ITEM_FN(name) void (*name) (struct world *, struct node *, void *)

/**
 * schedule - schedules a call of @fire that belongs to no daemon
 */
void schedule (struct world *world,
               uint64_t delay_us,
               ITEM_FN (fire),
               void *argument);

/**
 * schedule_on_node - schedules a call of @fire at a daemon
 * @generation: number of the daemon's start that the call belongs to, or
 *              ANY_GENERATION; the call is dropped if another start is current
 *
 * While the daemon is frozen, the call waits in its backlog.
 */
void schedule_on_node (struct node *node,
                       uint64_t generation,
                       uint64_t delay_us,
                       ITEM_FN (fire),
                       void *argument);

/* faults.c */
void begin_input (struct world *world, const struct input *input);
void start_node (struct node *node);

/**
 * stop_node - stops a daemon as a crash does, which breaks its exchanges
 */
void stop_node (struct node *node);

/**
 * exit_node - frees the state of a daemon that no longer runs
 */
void exit_node (struct node *node);

/**
 * fetch_config - copies the configuration of the daemon at @peer
 */
void fetch_config (struct node *node, struct jl_endpoint peer);

/* http.c */
void execute_effect (struct node *node, const struct jl_effect *effect);

/**
 * break_exchanges - breaks all open exchanges of a daemon that stops
 */
void break_exchanges (struct node *node);

/**
 * call_node - gives a call to a daemon
 * @exchange: the exchange that forwards the call, NULL for none
 */
void call_node (struct node *node,
                struct sending *sending,
                struct exchange *exchange,
                struct jl_event_call *event);

/* kinds.c */

/* Retries that the call tree of one request may use. */
#define RETRY_TOKENS 2

/**
 * kind_index - returns the position of a kind in the configuration of a daemon
 *
 * Return: JL_NONE if the daemon has no configuration.
 */
uint32_t kind_index (const struct node *node, uint32_t kind);

/**
 * config_version_of - returns the configuration version at a daemon, 0 for none
 */
uint64_t config_version_of (const struct node *node);
uint32_t kind_service (uint32_t kind);
bool kind_idempotent (uint32_t kind);

/**
 * kind_children - lists the kinds of the child calls that a kind makes
 *
 * Return: the number of child calls.
 */
uint32_t
kind_children (const struct world *world, uint32_t kind, uint32_t *children);
struct jl_config *make_config (const struct plan *plan, uint64_t version);
struct node *node_at (struct world *world, struct jl_endpoint endpoint);

/* target.c */

/**
 * begin_run - runs a work item at the target of a daemon
 *
 * The target may refuse the connection instead.
 */
void begin_run (struct node *node,
                struct edge_work *work,
                const struct jl_effect_run *effect);
void abort_run (struct node *node, struct run *run);
void crash_target (struct node *node);

/**
 * child_answered - continues a run after the answer to its child call
 */
void child_answered (struct run *run,
                     struct sending *sending,
                     const struct jl_effect_answer *answer);

/* caller.c */
void begin_request (struct world *world, const struct input *input);
void answer_caller (struct sending *sending,
                    const struct jl_effect_answer *answer);

/**
 * new_sending - records that a request is sent; it starts as its own root
 */
struct sending *new_sending (struct world *world, struct request *request);

/**
 * find_request - returns the request with an identifier, creates it if needed
 */
struct request *find_request (struct world *world, uint64_t id, uint32_t kind);

/* observer.c: each observe function checks invariants. */

/**
 * report_violation - fails the run, unless it has failed already
 */
void report_violation (struct world *world, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
void observe_send (struct node *node, const struct exchange *exchange);
void observe_run (struct node *node, const struct edge_work *work);

/**
 * observe_outcome - checks an outcome that a caller or a target got
 * @outcome: outcome of the request
 * @sending_outcome: outcome of this sending alone
 */
void observe_outcome (struct sending *sending,
                      enum jl_outcome outcome,
                      enum jl_outcome sending_outcome);
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
