/**
 * DOC: Passing bodies on between a request and its sending.
 */

#include "proxy/relay.h"

#include "proxy/proxy.h"

bool
jl_relay_answer (struct jl_request *request, struct jl_upstream *upstream)
{
  const struct jl_head *head = jl_upstream_head (upstream);
  const GByteArray *taken = jl_upstream_taken (upstream);
  GString *fields = jl_headers_back (head);
  bool complete = jl_upstream_complete (upstream);

  jl_request_start (request, head->status, fields->str,
                    head->has_length || complete,
                    head->has_length ? head->length : taken->len);
  g_string_free (fields, TRUE);
  jl_request_piece (request, (const char *)taken->data, taken->len);
  return complete;
}

void
jl_relay_piece (struct jl_request *request,
                struct jl_upstream *upstream,
                const char *data,
                size_t size)
{
  jl_request_piece (request, data, size);
  if (jl_request_backlog (request) > JL_CONN_HIGH_BYTES)
    jl_upstream_hold (upstream, true);
}

void
jl_relay_body (struct jl_request *request,
               struct jl_upstream *upstream,
               const char *data,
               size_t size,
               bool in_chunks)
{
  jl_upstream_body (upstream, data, size, in_chunks);
  if (jl_upstream_backlog (upstream) > JL_CONN_HIGH_BYTES)
    jl_request_hold (request, true);
}

void
jl_relay_kept (struct jl_request *request,
               struct jl_upstream *upstream,
               const GByteArray *kept,
               bool in_chunks)
{
  jl_upstream_body (upstream, (const char *)kept->data, kept->len, in_chunks);
  if (jl_request_ended (request))
    jl_upstream_body_end (upstream, in_chunks);
}
