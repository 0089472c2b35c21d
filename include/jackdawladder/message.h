#ifndef JACKDAWLADDER_MESSAGE_H
#define JACKDAWLADDER_MESSAGE_H

/**
 * DOC: Control messages between daemons.
 *
 * Each message is one datagram, which the transport does not acknowledge. It
 * may be lost, delayed, duplicated or reordered.
 */

#include "jackdawladder/base.h"

/* Most member updates in one message; keeps a datagram within 4 KB. */
#define JL_MESSAGE_UPDATE_MAX 24
/* Most strikes in one message. */
#define JL_MESSAGE_STRIKE_MAX 8

/**
 * enum jl_message_type - purpose of a control message
 * @JL_MESSAGE_PROBE: requests an acknowledgement of @sequence
 * @JL_MESSAGE_ACK: acknowledges a probe
 * @JL_MESSAGE_PROBE_RELAY: asks to probe @subject on behalf of the sender
 * @JL_MESSAGE_RELAY_ACK: @subject has acknowledged the relayed probe
 * @JL_MESSAGE_JOIN: requests the full member list; with a digest of the
 *                   sender's list as @sequence, requests it only if the lists
 *                   differ
 * @JL_MESSAGE_SYNC: carries a part of the member list, or member updates
 * @JL_MESSAGE_CANCEL: requests the cancellation of @attempt
 * @JL_MESSAGE_CANCELLED: @attempt has not started and will not start
 * @JL_MESSAGE_CANCEL_LATE: too late to cancel: @attempt has started or ended
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
 * enum jl_member_state - state of a member in the member list
 * @JL_MEMBER_ALIVE: may be given work
 * @JL_MEMBER_SUSPECT: did not answer probes; is given no new work
 * @JL_MEMBER_DEAD: did not refute the suspicion in time
 * @JL_MEMBER_LEFT: announced that it leaves
 *
 * Of two updates with equal identity and incarnation, the one with the higher
 * value takes precedence.
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
 * struct jl_member_info - information on a daemon, from itself or another
 * @identity: the member and its epoch
 * @incarnation: raised by the member itself when its information changes and to
 *               refute a suspicion
 * @state: see enum jl_member_state
 * @peer: HTTP endpoint for calls from other daemons
 * @zone: name of its availability zone
 * @service: the service of its target; empty while none is announced
 * @slots: number of requests that its target runs concurrently
 * @connections: number of connections that its target accepts
 * @target_up: whether its target takes new work
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
 * struct jl_strike - records that a request was in progress when a target died
 * @digest: digest of the request's content
 * @target: member whose target died
 * @age_ms: time since the target died
 */
struct jl_strike
{
  uint64_t digest;
  uint64_t target;
  uint32_t age_ms;
};

/**
 * struct jl_message - one control message
 * @type: purpose of the message
 * @from: member and epoch of the sender
 * @to: member and epoch of the receiver; epoch 0 when that is not known
 * @sequence: matches acknowledgements to probes; in a join request, a digest
 *            of the member list or 0
 * @subject: in a relay request and its acknowledgement, the probed member; in a
 *           probe on behalf of another member, and in the acknowledgement of
 *           such a probe, the member that requested it; 0 for none
 * @attempt: attempt that a cancellation refers to
 * @config_version: highest configuration version installed at the sender, 0 for
 *                  none
 * @config_digest: digest of that configuration document
 * @update_count: number of entries in @updates
 * @updates: member updates
 * @strike_count: number of entries in @strikes
 * @strikes: strikes against requests
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
