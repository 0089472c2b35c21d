#ifndef JACKDAWLADDER_CONTROL_H
#define JACKDAWLADDER_CONTROL_H

/**
 * DOC: Control messages on the wire: ONC RPC over UDP, one way.
 *
 * One thread receives and decodes messages; any thread sends. Nothing waits
 * for an answer, since answers are messages of their own.
 */

#include "jackdawladder/message.h"

#define JL_CONTROL_ERROR jl_control_error_quark ()
GQuark jl_control_error_quark (void);

/**
 * enum jl_control_error - why control messages cannot be taken
 * @JL_CONTROL_ERROR_BIND: the address is taken or not ours
 * @JL_CONTROL_ERROR_RPC: the RPC service could not be made
 */
enum jl_control_error
{
  JL_CONTROL_ERROR_BIND,
  JL_CONTROL_ERROR_RPC,
};

struct jl_control;

/**
 * JL_CONTROL_FN - a message has arrived
 * @message: decoded and checked; valid during the call only
 */
#define JL_CONTROL_FN(name)                                                    \
  void (*name) (void *context, const struct jl_message *message)

/**
 * jl_control_open - binds @local and starts the receiving thread
 */
struct jl_control *jl_control_open (struct jl_endpoint local,
                                    JL_CONTROL_FN (receive),
                                    void *context,
                                    GError **error);

/**
 * jl_control_close - stops the receiving thread and frees the endpoint
 */
void jl_control_close (struct jl_control *control);

/**
 * jl_control_send - sends one message and does not wait; it may be lost
 */
void jl_control_send (struct jl_control *control,
                      struct jl_endpoint to,
                      const struct jl_message *message);

/**
 * struct jl_control_counts - traffic since the start
 * @malformed: datagrams that could not be decoded or were out of bounds
 */
struct jl_control_counts
{
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t received;
  uint64_t received_bytes;
  uint64_t malformed;
};

void jl_control_get_counts (struct jl_control *control,
                            struct jl_control_counts *counts);

#endif
