#ifndef JACKDAWLADDER_MESSAGE_H
#define JACKDAWLADDER_MESSAGE_H

/**
 * DOC: Control messages between daemons.
 *
 * Each is one datagram without an answer at the transport. It may be lost,
 * delayed, repeated or reordered.
 */

#include "jackdawladder/base.h"

/* Member updates in one message, for a datagram of at most 4 KB. */
#define JL_MESSAGE_UPDATE_MAX 24
/* Strikes in one message. */
#define JL_MESSAGE_STRIKE_MAX 8

/**
 * enum jl_message_type - what a control message asks or says
 * @JL_MESSAGE_PROBE: asks for an acknowledgement of @sequence
 * @JL_MESSAGE_ACK: answers a probe
 * @JL_MESSAGE_PROBE_RELAY: asks to probe @subject on behalf of the sender
 * @JL_MESSAGE_RELAY_ACK: @subject has answered the relayed probe
 * @JL_MESSAGE_JOIN: asks for the whole member list; with a digest of the own
 *                   list as @sequence, for it only when it differs
 * @JL_MESSAGE_SYNC: a part of the member list, or news
 * @JL_MESSAGE_CANCEL: asks to cancel @attempt
 * @JL_MESSAGE_CANCELLED: @attempt did not start and will not
 * @JL_MESSAGE_CANCEL_LATE: @attempt has started or ended
 */
enum jl_message_type
{
  JL_MESSAGE_PROBE,
  JL_MESSAGE_ACK,
  JL_MESSAGE_PROBE_RELAY,
  JL_MESSAGE_RELAY_ACK,
  JL_MESSAGE_JOIN,
  JL_MESSAGE_SYNC,
  JL_MESSAGE_CANCEL,
  JL_MESSAGE_CANCELLED,
  JL_MESSAGE_CANCEL_LATE,
  JL_MESSAGE_TYPE_COUNT,
};

/**
 * enum jl_member_state - how a member is seen
 * @JL_MEMBER_ALIVE: takes work
 * @JL_MEMBER_SUSPECT: did not answer probes; takes no new work
 * @JL_MEMBER_DEAD: not refuted in time
 * @JL_MEMBER_LEFT: said that it leaves
 *
 * At equal identity and incarnation the higher value wins.
 */
enum jl_member_state
{
  JL_MEMBER_ALIVE,
  JL_MEMBER_SUSPECT,
  JL_MEMBER_DEAD,
  JL_MEMBER_LEFT,
  JL_MEMBER_STATE_COUNT,
};

/**
 * struct jl_member_info - what a daemon says of itself, or of another
 * @identity: whose life this speaks of
 * @incarnation: raised by the member itself to refute a suspicion
 * @state: see enum jl_member_state
 * @peer: where it takes calls of other daemons (HTTP)
 * @zone: its availability zone by name
 * @service: the service of its target; empty while none is announced
 * @slots: requests that its target runs at once
 * @connections: connections that its target takes
 * @target_up: whether its target takes work now
 */
struct jl_member_info
{
  struct jl_identity identity;
  uint32_t incarnation;
  enum jl_member_state state;
  struct jl_endpoint peer;
  char zone[JL_NAME_SIZE];
  char service[JL_NAME_SIZE];
  uint32_t slots;
  uint32_t connections;
  bool target_up;
};

/**
 * struct jl_strike - a request was in progress when a target died
 * @digest: digest of the request's content
 * @target: member whose target died
 * @age_ms: time since then
 */
struct jl_strike
{
  uint64_t digest;
  uint64_t target;
  uint32_t age_ms;
};

/**
 * struct jl_message - one control message
 * @from: the sending life
 * @to: the life it is meant for; epoch 0 when that is not known
 * @sequence: pairs probes with acknowledgements
 * @subject: member that a relayed probe is about; in a probe on behalf of
 *           another, and in its acknowledgement, who asked for it
 * @attempt: sending that a cancellation is about
 * @config_version: highest version installed at the sender, 0 for none
 * @config_digest: digest of that document
 */
struct jl_message
{
  enum jl_message_type type;
  struct jl_identity from;
  struct jl_identity to;
  uint64_t sequence;
  uint64_t subject;
  struct jl_attempt_id attempt;
  uint64_t config_version;
  uint64_t config_digest;
  uint32_t update_count;
  struct jl_member_info updates[JL_MESSAGE_UPDATE_MAX];
  uint32_t strike_count;
  struct jl_strike strikes[JL_MESSAGE_STRIKE_MAX];
};

#endif
