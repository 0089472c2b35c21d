#ifndef JL_POLICY_AWAITED_H
#define JL_POLICY_AWAITED_H

/**
 * DOC: Until when somebody waits for the response to a request.
 *
 * The entry answers its client at the deadline, and soon after it gives up a
 * response that has begun. The guard's connection to the entry does not tell it
 * in every case: the connection may have gone silent, or is not read. So the
 * guard ends work that nobody can wait for any more, whatever its connections
 * say.
 */

#include "jackdawladder/base.h"

/* Time after a request's deadline for which the entry waits for the end of a
 * response that has begun. */
#define JL_RESPONSE_GRACE_US (200 * JL_USEC_PER_MSEC)

/**
 * jl_awaited_until_us - returns the time after which nobody waits for a run
 * @expires_us: deadline of the request, as the guard has computed it when the
 *              request arrived
 * @has_begun: the response has begun
 */
uint64_t jl_awaited_until_us (uint64_t expires_us, bool has_begun);

#endif
