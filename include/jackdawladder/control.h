#ifndef JACKDAWLADDER_CONTROL_H
#define JACKDAWLADDER_CONTROL_H

/**
 * DOC: Transport of control messages: one-way ONC RPC calls over UDP.
 *
 * One thread receives and decodes messages; any thread may send. No call waits
 * for a reply, because replies are sent as separate messages.
 */

#include "jackdawladder/message.h"

#define JL_CONTROL_ERROR jl_control_error_quark ()
GQuark jl_control_error_quark (void);

/**
 * enum jl_control_error - errors of jl_control_open()
 * @JL_CONTROL_ERROR_BIND: the local address is in use or does not belong to
 *                         this host
 * @JL_CONTROL_ERROR_THREAD: the receiving thread could not be started
 */
enum jl_control_error
{
  JL_CONTROL_ERROR_BIND,
  JL_CONTROL_ERROR_THREAD,
};

struct jl_control;

/**
 * JL_CONTROL_FN - callback for a received message, on the receiving thread
 * @message: decoded and validated; valid during the call only
 */
#define JL_CONTROL_FN(name)                                                    \
  void (*name) (void *context, const struct jl_message *message)

/**
 * jl_control_open - binds @local and starts the receiving thread
 * @receive: called on the receiving thread for each valid message
 *
 * Return: the endpoint, or NULL with @error set.
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
 * jl_control_send - sends a message without blocking; it may be lost
 *
 * A message that cannot be encoded or sent is dropped without an error.
 */
void jl_control_send (struct jl_control *control,
                      struct jl_endpoint to,
                      const struct jl_message *message);

/**
 * struct jl_control_counts - traffic since the endpoint was opened
 * @sent: datagrams
 * @received: datagrams, malformed ones included
 * @malformed: received datagrams that could not be decoded or held values out
 *             of bounds
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
