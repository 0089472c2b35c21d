#ifndef JACKDAWLADDER_UPSTREAM_H
#define JACKDAWLADDER_UPSTREAM_H

/**
 * DOC: The client's side of HTTP/1.1: requests over kept connections.
 *
 * A request is never repeated here. Its owner learns whether the other side
 * can have seen it, and decides.
 */

#include "jackdawladder/conn.h"

struct jl_pool;
struct jl_upstream;

/**
 * enum jl_upstream_failure - why no answer came
 * @JL_UPSTREAM_NOT_SENT: no byte of the request left this process
 * @JL_UPSTREAM_LOST: the connection ended first; the request may have run
 * @JL_UPSTREAM_SPOILED: what came is no HTTP/1.1 message
 */
enum jl_upstream_failure
{
  JL_UPSTREAM_NOT_SENT,
  JL_UPSTREAM_LOST,
  JL_UPSTREAM_SPOILED,
};

/**
 * struct jl_upstream_ops - what the owner of a request is told
 * @answer: the answer's head, and its body whole or in part, are in
 * @piece: more of the body, after @answer
 * @done: the body is complete, after @answer if that was in part
 * @drained: the request's body can go on
 * @failed: there will be no (more) answer
 */
struct jl_upstream_ops
{
  void (*answer) (void *context, struct jl_upstream *upstream);
  void (*piece) (void *context,
                 struct jl_upstream *upstream,
                 const char *data,
                 size_t size);
  void (*done) (void *context, struct jl_upstream *upstream);
  void (*drained) (void *context, struct jl_upstream *upstream);
  void (*failed) (void *context,
                  struct jl_upstream *upstream,
                  enum jl_upstream_failure failure);
};

/**
 * jl_pool_new - kept connections
 * @idle_us: longest idle time after which one is used again
 * @idle_max: idle connections kept for each endpoint
 */
struct jl_pool *
jl_pool_new (struct jl_net *net, uint64_t idle_us, unsigned idle_max);

/**
 * jl_pool_sweep - closes connections that were idle for too long
 */
void jl_pool_sweep (struct jl_pool *pool);

/**
 * jl_pool_forget - closes the idle connections to @endpoint
 */
void jl_pool_forget (struct jl_pool *pool, struct jl_endpoint endpoint);

/**
 * jl_upstream_open - begins a request
 * @fresh: not on a kept connection
 * @head: request's head, complete with its empty line
 * @no_body: the answer has none, as with HEAD
 */
struct jl_upstream *jl_upstream_open (struct jl_pool *pool,
                                      struct jl_endpoint endpoint,
                                      bool fresh,
                                      const GString *head,
                                      bool no_body,
                                      const struct jl_upstream_ops *ops,
                                      void *context);

/**
 * jl_upstream_body - sends a piece of the request's body
 * @in_chunks: as its head says
 */
void jl_upstream_body (struct jl_upstream *upstream,
                       const char *data,
                       size_t size,
                       bool in_chunks);

/**
 * jl_upstream_body_end - the request is complete
 */
void jl_upstream_body_end (struct jl_upstream *upstream, bool in_chunks);

size_t jl_upstream_backlog (const struct jl_upstream *upstream);

/**
 * jl_upstream_untouched - whether no byte of the request left this process
 */
bool jl_upstream_untouched (const struct jl_upstream *upstream);

const struct jl_head *jl_upstream_head (const struct jl_upstream *upstream);

/**
 * jl_upstream_taken - the body as far as it came before @answer
 */
const GByteArray *jl_upstream_taken (const struct jl_upstream *upstream);

/**
 * jl_upstream_want_whole - @answer is called once the whole answer is in
 */
void jl_upstream_want_whole (struct jl_upstream *upstream);

/**
 * jl_upstream_complete - whether the whole answer is in
 */
bool jl_upstream_complete (const struct jl_upstream *upstream);

/**
 * jl_upstream_skip - drops an answer that belongs to no request, waits for the
 * next one on the connection
 *
 * Return: false when no other can come.
 */
bool jl_upstream_skip (struct jl_upstream *upstream);

/**
 * jl_upstream_hold - lets the sender of the answer wait
 */
void jl_upstream_hold (struct jl_upstream *upstream, bool hold);

/**
 * jl_upstream_drop - ends the request; cancels it if it is not complete
 */
void jl_upstream_drop (struct jl_upstream *upstream);

#endif
