#ifndef STANDINS_ANSWER_H
#define STANDINS_ANSWER_H

/**
 * DOC: What a caller reads of an answer.
 */

#include <curl/curl.h>
#include <glib.h>

/**
 * struct answer - body and outcome headers of one answer
 * @own_outcome: of this sending alone
 * @retry_after_ms: -1 when there was none
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
void answer_clear (struct answer *answer);

/**
 * answer_receive - has a transfer fill in the answer
 */
void answer_receive (struct answer *answer, CURL *curl);

#endif
