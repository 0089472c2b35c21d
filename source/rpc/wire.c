/**
 * DOC: Encoding and decoding of control messages.
 *
 * rpcgen generates the XDR routines. This file validates the values that those
 * do not check.
 */

#include "wire.h"

#include <string.h>

#include "gen/control.h"

/* Larger values are rejected: no target announces as many. */
#define SLOTS_MAX 1000000
#define CONNECTIONS_MAX 10000000
/*
 * Larger values are rejected, so that a member can always raise its incarnation
 * above the one in an update about it.
 */
#define INCARNATION_MAX 1000000000

G_STATIC_ASSERT (WIRE_NAME_MAX == JL_NAME_SIZE - 1);
G_STATIC_ASSERT (WIRE_MEMBER_MAX == JL_MESSAGE_UPDATE_MAX);
G_STATIC_ASSERT (WIRE_STRIKE_MAX == JL_MESSAGE_STRIKE_MAX);

static bool
is_member_id (uint64_t member)
{
  struct jl_endpoint endpoint = jl_member_endpoint (member);

  return endpoint.ip != 0 && endpoint.port != 0
         && jl_member_id (endpoint) == member;
}

static bool
is_valid_identity (struct jl_identity identity)
{
  return is_member_id (identity.member) && identity.epoch != 0;
}

/* Names are written to JSON and metrics without escaping. */
static bool
is_printable_name (const char *name)
{
  for (; *name != '\0'; name++)
    if (!g_ascii_isgraph (*name) || *name == '"' || *name == '\\')
      return false;
  return true;
}

static bool
check_member (const struct jl_member_info *info)
{
  return is_valid_identity (info->identity)
         && info->state < JL_MEMBER_STATE_COUNT
         && info->incarnation <= INCARNATION_MAX && info->peer.ip != 0
         && info->peer.port != 0 && is_printable_name (info->zone)
         && is_printable_name (info->service) && info->slots <= SLOTS_MAX
         && info->connections <= CONNECTIONS_MAX;
}

static bool
check_message (const struct jl_message *message)
{
  if (message->type >= JL_MESSAGE_TYPE_COUNT
      || !is_valid_identity (message->from)
      || !is_member_id (message->to.member))
    return false;
  if (message->subject != 0 && !is_member_id (message->subject))
    return false;
  if (message->attempt.origin.member != 0
      && !is_valid_identity (message->attempt.origin))
    return false;
  for (uint32_t i = 0; i < message->update_count; i++)
    if (!check_member (&message->updates[i]))
      return false;
  for (uint32_t i = 0; i < message->strike_count; i++)
    if (!is_member_id (message->strikes[i].target))
      return false;
  return true;
}

static struct wire_identity
identity_to_wire (struct jl_identity identity)
{
  return (struct wire_identity){ identity.member, identity.epoch };
}

static struct jl_identity
identity_from_wire (struct wire_identity identity)
{
  return (struct jl_identity){ identity.member, identity.epoch };
}

/* The strings of @wire point into @info. */
static void
member_to_wire (const struct jl_member_info *info, struct wire_member *wire)
{
  wire->identity = identity_to_wire (info->identity);
  wire->incarnation = info->incarnation;
  wire->state = info->state;
  wire->peer_ip = info->peer.ip;
  wire->peer_port = info->peer.port;
  wire->zone = (char *)info->zone;
  wire->service = (char *)info->service;
  wire->slots = info->slots;
  wire->connections = info->connections;
  wire->target_up = info->target_up;
}

/* The XDR routines have checked the lengths of the strings. */
static bool
member_from_wire (const struct wire_member *wire, struct jl_member_info *info)
{
  if (wire->peer_port > UINT16_MAX || wire->state >= JL_MEMBER_STATE_COUNT)
    return false;
  info->identity = identity_from_wire (wire->identity);
  info->incarnation = wire->incarnation;
  info->state = (enum jl_member_state)wire->state;
  info->peer.ip = wire->peer_ip;
  info->peer.port = (uint16_t)wire->peer_port;
  g_strlcpy (info->zone, wire->zone, JL_NAME_SIZE);
  g_strlcpy (info->service, wire->service, JL_NAME_SIZE);
  info->slots = wire->slots;
  info->connections = wire->connections;
  info->target_up = wire->target_up != 0;
  return true;
}

static bool
message_from_wire (const struct wire_message *wire, struct jl_message *message)
{
  if (wire->type >= JL_MESSAGE_TYPE_COUNT)
    return false;
  message->type = (enum jl_message_type)wire->type;
  message->from = identity_from_wire (wire->from);
  message->to = identity_from_wire (wire->to);
  message->sequence = wire->sequence;
  message->subject = wire->subject;
  message->attempt = (struct jl_attempt_id){ .number = 0 };
  if (wire->attempt != NULL)
    {
      message->attempt.origin = identity_from_wire (wire->attempt->origin);
      message->attempt.number = wire->attempt->number;
    }
  message->config_version = wire->config_version;
  message->config_digest = wire->config_digest;
  message->update_count = wire->members.members_len;
  for (uint32_t i = 0; i < message->update_count; i++)
    if (!member_from_wire (&wire->members.members_val[i], &message->updates[i]))
      return false;
  message->strike_count = wire->strikes.strikes_len;
  for (uint32_t i = 0; i < message->strike_count; i++)
    {
      const struct wire_strike *strike = &wire->strikes.strikes_val[i];

      message->strikes[i].digest = strike->digest;
      message->strikes[i].target = strike->target;
      message->strikes[i].age_ms = strike->age_ms;
    }
  return true;
}

static bool
encode_call (XDR *xdr, uint32_t call_id, struct wire_message *wire)
{
  struct rpc_msg call = { .rm_xid = call_id, .rm_direction = CALL };

  call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  call.rm_call.cb_prog = WIRE_PROGRAM;
  call.rm_call.cb_vers = WIRE_VERSION;
  call.rm_call.cb_proc = WIRE_SEND;
  call.rm_call.cb_cred = _null_auth;
  call.rm_call.cb_verf = _null_auth;
  return xdr_callmsg (xdr, &call) && xdr_wire_message (xdr, wire);
}

size_t
jl_wire_encode (const struct jl_message *message,
                uint32_t call_id,
                uint8_t *data)
{
  struct wire_member members[JL_MESSAGE_UPDATE_MAX];
  struct wire_strike strikes[JL_MESSAGE_STRIKE_MAX];
  struct wire_attempt attempt;
  struct wire_message wire = { .type = message->type };
  XDR xdr;

  if (message->update_count > JL_MESSAGE_UPDATE_MAX
      || message->strike_count > JL_MESSAGE_STRIKE_MAX)
    return 0;
  wire.from = identity_to_wire (message->from);
  wire.to = identity_to_wire (message->to);
  wire.sequence = message->sequence;
  wire.subject = message->subject;
  attempt.origin = identity_to_wire (message->attempt.origin);
  attempt.number = message->attempt.number;
  if (message->attempt.origin.member != 0)
    wire.attempt = &attempt;
  wire.config_version = message->config_version;
  wire.config_digest = message->config_digest;
  wire.members.members_len = message->update_count;
  wire.members.members_val = members;
  for (uint32_t i = 0; i < message->update_count; i++)
    member_to_wire (&message->updates[i], &members[i]);
  wire.strikes.strikes_len = message->strike_count;
  wire.strikes.strikes_val = strikes;
  for (uint32_t i = 0; i < message->strike_count; i++)
    strikes[i] = (struct wire_strike){ .digest = message->strikes[i].digest,
                                       .target = message->strikes[i].target,
                                       .age_ms = message->strikes[i].age_ms };
  xdrmem_create (&xdr, (char *)data, JL_WIRE_BYTES_MAX, XDR_ENCODE);
  return encode_call (&xdr, call_id, &wire) ? xdr_getpos (&xdr) : 0;
}

/* Decodes and checks an RPC call header: WIRE_SEND without credentials. */
static bool
decode_call (XDR *xdr)
{
  struct rpc_msg call = { .rm_xid = 0 };
  bool ok = xdr_callmsg (xdr, &call);
  struct opaque_auth *cred = &call.rm_call.cb_cred;
  struct opaque_auth *verf = &call.rm_call.cb_verf;

  if (cred->oa_base != NULL || verf->oa_base != NULL)
    {
      /* Allocated for the body of a credential; valid calls have none. */
      free (cred->oa_base);
      free (verf->oa_base);
      return false;
    }
  return ok && call.rm_direction == CALL
         && call.rm_call.cb_rpcvers == RPC_MSG_VERSION
         && call.rm_call.cb_prog == WIRE_PROGRAM
         && call.rm_call.cb_vers == WIRE_VERSION
         && call.rm_call.cb_proc == WIRE_SEND && cred->oa_flavor == AUTH_NONE
         && verf->oa_flavor == AUTH_NONE;
}

bool
jl_wire_decode (const uint8_t *data, size_t size, struct jl_message *message)
{
  struct wire_message wire = { .type = 0 };
  bool ok;
  XDR xdr;

  if (size > JL_WIRE_BYTES_MAX)
    return false;
  xdrmem_create (&xdr, (char *)data, (u_int)size, XDR_DECODE);
  if (!decode_call (&xdr))
    return false;
  ok = xdr_wire_message (&xdr, &wire) && xdr_getpos (&xdr) == size
       && message_from_wire (&wire, message) && check_message (message);
  xdr_free ((xdrproc_t)xdr_wire_message, (char *)&wire);
  return ok;
}
