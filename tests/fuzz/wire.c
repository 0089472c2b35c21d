/**
 * DOC: Fuzz test that decodes arbitrary bytes as a control message.
 */

#include <stdlib.h>
#include <string.h>

#include "rpc/wire.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_name (const char *name)
{
  if (memchr (name, '\0', JL_NAME_SIZE) == NULL)
    abort ();
}

/* A decoded message must be within its bounds, and must encode again. */
static void
check (const struct jl_message *message)
{
  _Alignas(8) uint8_t data[JL_WIRE_BYTES_MAX];
  struct jl_message again;
  size_t size;

  if (message->type >= JL_MESSAGE_TYPE_COUNT
      || message->update_count > JL_MESSAGE_UPDATE_MAX
      || message->strike_count > JL_MESSAGE_STRIKE_MAX)
    abort ();
  for (uint32_t i = 0; i < message->update_count; i++)
    {
      check_name (message->updates[i].zone);
      check_name (message->updates[i].service);
      if (message->updates[i].state >= JL_MEMBER_STATE_COUNT)
        abort ();
    }
  size = jl_wire_encode (message, 0, data);
  if (size == 0 || !jl_wire_decode (data, size, &again))
    abort ();
  if (again.update_count != message->update_count
      || again.sequence != message->sequence)
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct jl_message message;
  /* The decoder reads whole words, so the data must be aligned. */
  uint8_t *aligned = malloc (size + 1);

  if (aligned == NULL)
    abort ();
  memcpy (aligned, data, size);
  if (jl_wire_decode (aligned, size, &message))
    check (&message);
  free (aligned);
  return 0;
}
