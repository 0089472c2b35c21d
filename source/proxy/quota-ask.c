/**
 * DOC: Requests for tokens and their answers as datagrams.
 */

#include "proxy/announce.h"
#include "proxy/quota-impl.h"

/* Minimum time between two requests; what is asked for in between goes into one
 * datagram. */
#define ASK_GAP_US (4 * JL_USEC_PER_MSEC)
/* Bound of the tokens that one request asks for, per customer. */
#define COUNT_MAX 1000u
/* Time after which a prefetch without an answer is requested again. */
#define PREFETCH_RETRY_US (20 * JL_USEC_PER_MSEC)

static void
on_ask_timer (void *context, struct jl_timer *timer)
{
  (void)timer;
  jl_quota_ask (context, jl_now ());
}

void
jl_quota_ask_soon (struct jl_quota *quota, struct jl_quota_line *line)
{
  struct jl_proxy *proxy = quota->proxy;
  uint64_t now_us = jl_now ();
  uint64_t due_us = quota->vote.asked_us + ASK_GAP_US;

  if (!line->is_pending)
    {
      line->is_pending = true;
      cds_list_add_tail (&line->pending, &quota->pending);
    }
  if (now_us >= due_us)
    jl_quota_ask (quota, now_us);
  else if (quota->ask_timer.heap_position == 0)
    jl_timer_start (proxy->loop->timers, &quota->ask_timer, due_us,
                    on_ask_timer, quota);
}

/* Returns the requests to charge. A new issuer has begun with an empty bucket,
 * and what is older than a window does not count any more. */
static unsigned
debt_of (struct jl_quota *quota, struct jl_quota_line *line, uint64_t now_us)
{
  uint64_t window_us = quota->proxy->options->cap.window_us;

  if (line->debt_epoch != quota->vote.epoch
      || now_us > line->debt_us + window_us)
    line->debt = 0;
  return line->debt;
}

/* Counts the requests that wait and that no request for tokens covers, which
 * the next one does, and the tokens to prefetch. */
static struct beacon_quota_want
want_of (struct jl_quota *quota, struct jl_quota_line *line, uint64_t now_us)
{
  struct beacon_quota_want want = { .customer = line->stock.customer };
  struct jl_call *call;

  cds_list_for_each_entry (call, &line->waiting, token_link)
  {
    if (call->token_ask != 0 || want.waiting == COUNT_MAX)
      continue;
    call->token_ask = quota->sequence;
    want.waiting++;
  }
  want.count = want.waiting;
  want.debt = debt_of (quota, line, now_us);
  if (now_us >= line->prefetch_us + PREFETCH_RETRY_US)
    {
      unsigned wants = jl_quota_stock_wants (&line->stock, now_us);

      want.count += MIN (wants, COUNT_MAX);
      line->prefetch_us = wants > 0 ? now_us : 0;
    }
  return want;
}

/* Moves as many pending customers as a datagram has room for into @ask. */
static void
fill_wants (struct jl_quota *quota,
            struct beacon_quota_ask *ask,
            uint64_t now_us)
{
  struct jl_quota_line *line;
  struct jl_quota_line *next;

  cds_list_for_each_entry_safe (line, next, &quota->pending, pending)
  {
    struct beacon_quota_want want;

    if (ask->wants.wants_len == BEACON_QUOTA_MAX)
      return;
    cds_list_del (&line->pending);
    line->is_pending = false;
    want = want_of (quota, line, now_us);
    if (want.count == 0 && want.debt == 0)
      continue;
    quota->asked += want.count;
    ask->wants.wants_val[ask->wants.wants_len++] = want;
  }
}

static void
send_datagram (struct jl_quota *quota,
               struct jl_endpoint peer,
               bool (*encode) (XDR *xdr, void *message),
               void *message)
{
  char datagram[JL_DATAGRAM_BYTES_MAX];
  XDR xdr;

  xdrmem_create (&xdr, datagram, sizeof datagram, XDR_ENCODE);
  if (!encode (&xdr, message))
    return;
  quota->datagrams++;
  jl_beacon_send_datagram (quota->proxy->beacon, peer, datagram,
                           xdr_getpos (&xdr));
}

/**
 * struct ask, struct answer - a datagram: a message and the list that follows
 * it
 */
struct ask
{
  struct beacon_quota_ask message;
  struct beacon_quota_list list;
};

struct answer
{
  struct beacon_quota_answer message;
  struct beacon_quota_list list;
};

static bool
encode_ask (XDR *xdr, void *datagram)
{
  struct ask *ask = datagram;

  return xdr_beacon_quota_ask (xdr, &ask->message)
         && xdr_beacon_quota_list (xdr, &ask->list);
}

static bool
encode_answer (XDR *xdr, void *datagram)
{
  struct answer *answer = datagram;

  return xdr_beacon_quota_answer (xdr, &answer->message)
         && xdr_beacon_quota_list (xdr, &answer->list);
}

/* Reads the list that follows a message. Older daemons send none. */
static struct beacon_quota_list
decode_list (XDR *xdr)
{
  struct beacon_quota_list list;
  const struct beacon_quota_list none = { 0 };

  return xdr_beacon_quota_list (xdr, &list) ? list : none;
}

static struct jl_quota_list_id
id_of (const struct beacon_quota_list *list)
{
  struct jl_quota_list_id id = { list->list_version, list->tag };

  return id;
}

/* Returns the list that this daemon uses as an issuer. */
static struct beacon_quota_list
used_list (const struct jl_quota *quota, uint64_t now_us)
{
  const struct jl_quota_quorum *quorum = &quota->quorum;
  uint64_t age_ms = (now_us - quorum->confirmed_us) / JL_USEC_PER_MSEC + 1;
  struct beacon_quota_list list = {
    .list_version = quorum->id.version,
    .tag = quorum->id.tag,
    .age_ms = G_MAXUINT32,
    .part_millionths = jl_quota_millionths (quota->issuer.part),
  };

  if (quorum->confirmed_us != 0)
    list.age_ms = (u_int)MIN (age_ms, G_MAXUINT32);
  return list;
}

/* Asks this daemon itself. */
static void
ask_self (struct jl_quota *quota,
          const struct beacon_quota_ask *ask,
          uint64_t now_us)
{
  struct beacon_quota_grant grants[BEACON_QUOTA_MAX];
  struct beacon_quota_answer answer = { .grants.grants_val = grants };
  struct beacon_quota_list list;
  uint32_t key = quota->proxy->self->key;

  jl_quota_serve (quota, key, ask, quota->quorum.adopted, &answer, now_us);
  list = used_list (quota, now_us);
  jl_quota_answered (quota, key, &answer, &list, now_us);
}

static void
ask_once (struct jl_quota *quota, uint64_t now_us)
{
  struct jl_proxy *proxy = quota->proxy;
  struct beacon_quota_want wants[BEACON_QUOTA_MAX];
  struct ask ask = {
    .message.format = JL_FORMAT_QUOTA_ASK,
    .message.name = proxy->self->name,
    .message.epoch = quota->vote.epoch,
    .message.wants.wants_val = wants,
    .list.list_version = quota->quorum.adopted.version,
    .list.tag = quota->quorum.adopted.tag,
  };
  const struct jl_member *issuer;

  quota->sequence = quota->sequence == G_MAXUINT32 ? 1 : quota->sequence + 1;
  quota->asked_us[quota->sequence % JL_QUOTA_ASKS] = now_us;
  ask.message.sequence = quota->sequence;
  ask.message.stamp = jl_quota_vote_asked (&quota->vote, now_us);
  fill_wants (quota, &ask.message, now_us);
  issuer = jl_roster_find_key (&proxy->roster, quota->vote.chosen);
  if (issuer == proxy->self)
    ask_self (quota, &ask.message, now_us);
  else if (issuer != NULL)
    send_datagram (quota, issuer->peer, encode_ask, &ask);
}

void
jl_quota_ask (struct jl_quota *quota, uint64_t now_us)
{
  jl_timer_stop (quota->proxy->loop->timers, &quota->ask_timer);
  if (quota->vote.chosen == 0)
    return;
  do
    ask_once (quota, now_us);
  while (!cds_list_empty (&quota->pending) && quota->vote.chosen != 0);
}

static void
read_ask (struct jl_quota *quota, XDR *xdr)
{
  struct jl_proxy *proxy = quota->proxy;
  struct beacon_quota_grant grants[BEACON_QUOTA_MAX];
  struct answer answer = { .message.grants.grants_val = grants };
  struct beacon_quota_ask ask = { 0 };
  const struct jl_member *member;

  if (xdr_beacon_quota_ask (xdr, &ask))
    {
      struct beacon_quota_list list = decode_list (xdr);
      uint64_t now_us = jl_now ();

      member = g_hash_table_lookup (proxy->roster.by_name, ask.name);
      if (member != NULL && member != proxy->self && member->peer.port != 0
          && member->contact == NULL)
        {
          jl_quota_serve (quota, member->key, &ask, id_of (&list),
                          &answer.message, now_us);
          answer.list = used_list (quota, now_us);
          send_datagram (quota, member->peer, encode_answer, &answer);
        }
    }
  xdr_free ((xdrproc_t)xdr_beacon_quota_ask, &ask);
}

static void
read_answer (struct jl_quota *quota, XDR *xdr)
{
  struct beacon_quota_answer answer = { 0 };
  const struct jl_member *member;

  if (xdr_beacon_quota_answer (xdr, &answer))
    {
      member = g_hash_table_lookup (quota->proxy->roster.by_name, answer.name);
      if (member != NULL && member != quota->proxy->self)
        {
          struct beacon_quota_list list = decode_list (xdr);

          jl_quota_answered (quota, member->key, &answer, &list, jl_now ());
        }
    }
  xdr_free ((xdrproc_t)xdr_beacon_quota_answer, &answer);
}

void
jl_quota_read (struct jl_quota *quota, const char *datagram, size_t size)
{
  XDR xdr;

  xdrmem_create (&xdr, (char *)datagram, (u_int)size, XDR_DECODE);
  switch (jl_announce_format (datagram, size))
    {
    case JL_FORMAT_QUOTA_ASK:
      read_ask (quota, &xdr);
      break;
    case JL_FORMAT_QUOTA_ANSWER:
      read_answer (quota, &xdr);
      break;
    case JL_FORMAT_QUOTA_MEMBERS:
      jl_quota_read_members (quota, &xdr);
      break;
    default:
      jl_quota_read_shares (quota, &xdr);
    }
}
