/**
 * DOC: Until when somebody waits for the response to a request.
 */

#include "policy/awaited.h"

/* Time that a response and the end of a connection may need between daemons. */
#define TRANSIT_US (300 * JL_USEC_PER_MSEC)
/* Additional time for a response that has begun: what is there is delivered,
 * also to a slow receiver. */
#define DELIVERY_US (10 * JL_USEC_PER_SEC)

uint64_t
jl_awaited_until_us (uint64_t expires_us, bool has_begun)
{
  return expires_us + JL_RESPONSE_GRACE_US + TRANSIT_US
         + (has_begun ? DELIVERY_US : 0);
}
