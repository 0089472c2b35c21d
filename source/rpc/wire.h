#ifndef JACKDAWLADDER_WIRE_H
#define JACKDAWLADDER_WIRE_H

/**
 * DOC: Control messages as datagrams: ONC RPC call messages (RFC 5531) with
 * arguments in XDR, as described in control.x.
 */

#include "jackdawladder/message.h"

/* Bytes of the largest datagram. */
#define JL_WIRE_SIZE_MAX 4096

/**
 * jl_wire_encode - writes a message as an RPC call
 * @call_id: the transaction identifier (xid) of the call
 * @data: at least JL_WIRE_SIZE_MAX bytes, aligned to 4
 *
 * Return: bytes written, 0 when @message is out of bounds.
 */
size_t jl_wire_encode (const struct jl_message *message,
                       uint32_t call_id,
                       uint8_t *data);

/**
 * jl_wire_decode - reads and checks an RPC call
 * @data: aligned to 4
 * @message: may be partly written on failure
 *
 * Return: false for anything but one whole message within its bounds.
 */
bool
jl_wire_decode (const uint8_t *data, size_t size, struct jl_message *message);

#endif
