#ifndef STANDINS_ANSWER_H
#define STANDINS_ANSWER_H

/**
 * DOC: Parsing of the answers that a caller receives.
 */

#include <curl/curl.h>
#include <glib.h>

/**
 * struct answer - body and outcome headers of one answer
 * @outcome: value of Jl-Outcome, the outcome of the request over all its
 *           sendings
 * @own_outcome: value of Jl-Sending, the outcome of this sending alone
 * @reason: value of Jl-Reason
 * @ticket: value of Jl-Ticket
 * @retry_after_ms: value of Jl-Retry-After-Ms or else of Retry-After, converted
 *                  to milliseconds; -1 if the answer has neither
 *
 * Strings are empty if the answer lacks their header.
 */
struct answer
{
  GString *body;
  char outcome[16];
  char own_outcome[16];
  char reason[24];
  char ticket[128];
  long retry_after_ms;
};

void answer_init (struct answer *answer);

/**
 * answer_clear - frees the body
 */
void answer_clear (struct answer *answer);

/**
 * answer_receive - sets the callbacks of a transfer to fill in an answer
 */
void answer_receive (struct answer *answer, CURL *curl);

#endif
