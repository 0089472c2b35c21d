#ifndef TESTS_PROXY_QUOTA_MODEL_H
#define TESTS_PROXY_QUOTA_MODEL_H

/**
 * DOC: Many daemons, issuers and zones in virtual time, with the modules
 * source/policy/quota-*, and the times at which requests run.
 */

#include "policy/quota-issuer.h"
#include "policy/quota-stock.h"
#include "policy/quota-vote.h"

#define MODEL_DAEMONS_MAX 80
#define MODEL_CUSTOMERS_MAX 4
#define MODEL_STEP_US (2 * JL_USEC_PER_MSEC)
#define MODEL_WINDOW_US (5 * JL_USEC_PER_SEC)

struct quota_model;

/**
 * struct model_customer - a customer
 * @rate: cap, equal to the burst
 * @changed_us: time from which the rule is checked, after a changed cap
 * @demand: requests a second at one daemon now
 * @runs: times of requests that run
 * @refused: number of requests that were refused
 * @units: share of each zone
 * @arriving: units that a zone gets at the next exchange
 */
struct model_customer
{
  double rate;
  uint64_t changed_us;
  double (*demand) (const struct quota_model *model, unsigned daemon);
  GArray *runs;
  unsigned refused;
  unsigned units[8];
  unsigned arriving[8];
};

/**
 * struct model_line - a customer at a daemon
 * @waiting: times at which requests began to wait, and the requests for tokens
 *           that cover them
 * @debt: requests that have run without a token, to be charged to the issuer
 *        with @debt_epoch
 */
struct model_line
{
  struct jl_quota_stock stock;
  GArray *waiting;
  unsigned debt;
  uint64_t debt_epoch;
  bool pending;
};

/**
 * struct model_daemon - a daemon
 * @read_us: time at which it last read the zone's row
 * @told_us: time at which it last told the zone its list
 * @frozen_until_us: it does nothing until then
 * @down: it does not run
 */
struct model_daemon
{
  unsigned zone;
  struct jl_quota_vote vote;
  struct jl_quota_issuer issuer;
  struct jl_quota_quorum quorum;
  uint64_t read_us;
  uint64_t told_us;
  struct model_line lines[MODEL_CUSTOMERS_MAX];
  uint64_t heard_us[MODEL_DAEMONS_MAX];
  uint64_t epoch;
  uint64_t frozen_until_us;
  bool down;
  bool in_contact;
  uint64_t lost_us;
  uint32_t sequence;
  uint64_t asked_us[256];
  GQueue inbox;
};

/**
 * struct quota_model - the site
 * @linked: whether a datagram passes from one daemon to another, NULL if all do
 * @moves: number of moves of shares so far
 * @exchanges: number of requests to lend tokens so far
 * @shares_move: shares of zones move
 * @loss: share of the datagrams that are lost
 * @rows: list of the daemons that count, by zone, as the store has it
 */
struct quota_model
{
  unsigned daemon_count;
  unsigned zone_count;
  unsigned customer_count;
  uint64_t now_us;
  bool (*linked) (const struct quota_model *model, unsigned from, unsigned to);
  unsigned moves;
  unsigned exchanges;
  bool shares_move;
  double loss;
  GRand *random;
  struct jl_quota_members rows[8];
  struct model_daemon daemons[MODEL_DAEMONS_MAX];
  struct model_customer customers[MODEL_CUSTOMERS_MAX];
};

/**
 * quota_model_new - creates a site whose daemons know each other and have just
 * started
 */
struct quota_model *quota_model_new (unsigned daemons,
                                     unsigned zones,
                                     unsigned customers,
                                     unsigned seed);

void quota_model_free (struct quota_model *model);

/**
 * quota_model_run - lets the time pass
 */
void quota_model_run (struct quota_model *model, uint64_t time_us);

/**
 * quota_model_restart - ends a daemon's process, which loses its state, and
 * starts it again
 */
void quota_model_restart (struct quota_model *model, unsigned daemon);

/**
 * quota_model_issuer - returns the daemon that issues the largest part in a
 * zone, G_MAXUINT for none
 *
 * Fails the test if the parts of several sum to more than one.
 */
unsigned quota_model_issuer (struct quota_model *model, unsigned zone);

/**
 * quota_model_worst - returns the largest number of requests in a window as a
 * fraction of what the rule allows
 */
double quota_model_worst (const struct quota_model *model, unsigned customer);

/**
 * quota_model_refused_ratio - returns the share of the requests that were
 * refused since the last call
 */
double quota_model_refused_ratio (struct quota_model *model, unsigned customer);

#endif
