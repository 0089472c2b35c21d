/**
 * DOC: Measures the latency that the daemons add to a call.
 *
 * Sends GET requests at a fixed rate, each at its scheduled time, to one or
 * more endpoints, and prints the latency distribution by endpoint. Successive
 * requests go to the endpoints in turn, so that one run compares them.
 *
 *   latency PATH RATE SECONDS ENDPOINT...
 */

#include <stdio.h>
#include <stdlib.h>

#include "jackdawladder/http.h"

#define THREAD_COUNT 16
#define TIMEOUT_US (2 * JL_USEC_PER_SEC)
#define ENDPOINT_MAX 8

/**
 * struct bench - state shared by all threads
 * @next: number of the next request
 * @lock: protects @times and @failed
 * @times: latencies by endpoint, in microseconds
 * @failed: number of requests by endpoint without an answer of status 200
 */
struct bench
{
  const char *path;
  struct jl_http_pool *pool;
  int endpoint_count;
  struct jl_endpoint endpoints[ENDPOINT_MAX];
  uint64_t start_us;
  uint64_t interval_us;
  int total;
  int next;
  GMutex lock;
  GArray *times[ENDPOINT_MAX];
  uint64_t failed[ENDPOINT_MAX];
};

static void
send_request (struct bench *bench, int number)
{
  int endpoint_index = number % bench->endpoint_count;
  struct jl_http_message request;
  struct jl_http_message answer;
  struct jl_http_call call = { .endpoint = bench->endpoints[endpoint_index],
                               .method = "GET",
                               .target = bench->path,
                               .request = &request,
                               .timeout_us = TIMEOUT_US,
                               .response_max_bytes = 1 << 20 };
  enum jl_http_result result;
  uint64_t start_us;
  uint64_t took_us;
  uint32_t status;

  jl_http_message_init (&request);
  jl_http_message_init (&answer);
  jl_http_add_header (&request, "Jl-Work", "1");
  start_us = jl_now ();
  result = jl_http_perform (bench->pool, &call, &status, &answer);
  took_us = jl_now () - start_us;
  g_mutex_lock (&bench->lock);
  if (result == JL_HTTP_COMPLETED && status == 200)
    g_array_append_val (bench->times[endpoint_index], took_us);
  else
    bench->failed[endpoint_index]++;
  g_mutex_unlock (&bench->lock);
  jl_http_message_clear (&request);
  jl_http_message_clear (&answer);
}

static gpointer
run_thread (gpointer context)
{
  struct bench *bench = context;

  for (;;)
    {
      int number = g_atomic_int_add (&bench->next, 1);
      uint64_t due_us = bench->start_us + number * bench->interval_us;
      uint64_t now_us = jl_now ();

      if (number >= bench->total)
        return NULL;
      if (due_us > now_us)
        g_usleep (due_us - now_us);
      send_request (bench, number);
    }
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  uint64_t first = *(const uint64_t *)a;
  uint64_t second = *(const uint64_t *)b;

  return (first > second) - (first < second);
}

static uint64_t
quantile (const GArray *times, double share)
{
  guint index = (guint)(share * times->len);

  if (times->len == 0)
    return 0;
  return g_array_index (times, uint64_t, MIN (index, times->len - 1));
}

static void
print_times (const struct bench *bench, int endpoint_index)
{
  GArray *times = bench->times[endpoint_index];
  char endpoint[JL_ENDPOINT_TEXT_SIZE];

  g_array_sort (times, compare_times);
  jl_endpoint_format (bench->endpoints[endpoint_index], endpoint);
  printf ("%-22s answered %u failed %u  50%% %u us  99%% %u us  99.9%% %u us\n",
          endpoint, times->len, (unsigned)bench->failed[endpoint_index],
          (unsigned)quantile (times, 0.5), (unsigned)quantile (times, 0.99),
          (unsigned)quantile (times, 0.999));
}

int
main (int argc, char **argv)
{
  struct bench bench = { 0 };
  GThread *threads[THREAD_COUNT];
  int rate;

  if (argc < 5)
    return 2;
  bench.path = argv[1];
  rate = atoi (argv[2]);
  bench.total = rate * atoi (argv[3]);
  bench.interval_us = JL_USEC_PER_SEC / (uint64_t)rate;
  for (int i = 4; i < argc && bench.endpoint_count < ENDPOINT_MAX; i++)
    {
      if (!jl_endpoint_parse (argv[i], &bench.endpoints[bench.endpoint_count]))
        return 2;
      bench.times[bench.endpoint_count++]
          = g_array_new (FALSE, FALSE, sizeof (uint64_t));
    }
  g_mutex_init (&bench.lock);
  bench.pool = jl_http_pool_new (THREAD_COUNT);
  bench.start_us = jl_now ();
  for (int i = 0; i < THREAD_COUNT; i++)
    threads[i] = g_thread_new ("sender", run_thread, &bench);
  for (int i = 0; i < THREAD_COUNT; i++)
    g_thread_join (threads[i]);
  for (int i = 0; i < bench.endpoint_count; i++)
    print_times (&bench, i);
  jl_http_pool_drop (bench.pool);
  return 0;
}
