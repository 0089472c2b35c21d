#ifndef JACKDAWLADDER_WIRE_H
#define JACKDAWLADDER_WIRE_H

/**
 * DOC: Encoding of control messages as datagrams.
 *
 * Each datagram is an ONC RPC call message (RFC 5531) with arguments in XDR,
 * as defined in control.x.
 */

#include "jackdawladder/message.h"

/* Size of the largest datagram. */
#define JL_WIRE_BYTES_MAX 4096

/**
 * jl_wire_encode - encodes a message as an RPC call
 * @call_id: the transaction identifier (xid) of the call
 * @data: output buffer of at least JL_WIRE_BYTES_MAX bytes, aligned to 4
 *
 * Return: the number of bytes written, or 0 if @message has too many updates or
 * strikes or cannot be encoded.
 */
size_t jl_wire_encode (const struct jl_message *message,
                       uint32_t call_id,
                       uint8_t *data);

/**
 * jl_wire_decode - decodes and validates an RPC call
 * @data: the datagram, aligned to 4
 * @message: output; may be partly written on failure
 *
 * Return: true if @data holds exactly one complete message and all its values
 * are within their bounds.
 */
bool
jl_wire_decode (const uint8_t *data, size_t size, struct jl_message *message);

#endif
