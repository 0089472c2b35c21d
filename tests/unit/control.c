/**
 * DOC: Tests of control messages: transport, validation of values, and closing.
 */

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "jackdawladder/control.h"
#include "rpc/wire.h"

#define TEST_IP 0x7f0a0101u
#define TEST_PORT 7601
/* Far longer than a datagram takes on the loopback interface. */
#define WAIT_US (gint64) (10 * JL_USEC_PER_SEC)

/**
 * struct inbox - messages received by a control endpoint
 */
struct inbox
{
  GMutex mutex;
  GCond cond;
  uint32_t count;
  struct jl_message last;
};

static void
receive (void *context, const struct jl_message *message)
{
  struct inbox *inbox = context;

  g_mutex_lock (&inbox->mutex);
  inbox->last = *message;
  inbox->count++;
  g_cond_signal (&inbox->cond);
  g_mutex_unlock (&inbox->mutex);
}

/* Waits until @inbox has received @count messages in all. */
static void
wait_for (struct inbox *inbox, uint32_t count)
{
  gint64 end = g_get_monotonic_time () + WAIT_US;

  g_mutex_lock (&inbox->mutex);
  while (inbox->count < count)
    if (!g_cond_wait_until (&inbox->cond, &inbox->mutex, end))
      break;
  cr_assert_eq (inbox->count, count);
  g_mutex_unlock (&inbox->mutex);
}

static struct jl_endpoint
endpoint (uint16_t port)
{
  return (struct jl_endpoint){ .ip = TEST_IP, .port = port };
}

static void
fill_member (struct jl_member_info *info, uint32_t index)
{
  info->identity.member = jl_member_id (endpoint ((uint16_t)(100 + index)));
  info->identity.epoch = 1000 + index;
  info->incarnation = 7 * index;
  info->state = index % JL_MEMBER_STATE_COUNT;
  info->peer = endpoint ((uint16_t)(8000 + index));
  memset (info->zone, 'z', JL_NAME_SIZE - 1);
  memset (info->service, 's', index);
  info->slots = 100 + index;
  info->connections = 700 + index;
  info->target_up = index % 2;
}

/* Fills a message of @type with the most updates and strikes it can hold. */
static void
fill_message (struct jl_message *message, enum jl_message_type type)
{
  memset (message, 0, sizeof *message);
  message->type = type;
  message->from.member = jl_member_id (endpoint (TEST_PORT));
  message->from.epoch = UINT64_MAX;
  message->to.member = jl_member_id (endpoint (TEST_PORT + 1));
  message->sequence = UINT64_C (0x123456789abcdef0);
  message->subject = jl_member_id (endpoint (9));
  message->attempt.origin = message->from;
  message->attempt.number = 77;
  message->config_version = 650;
  message->config_digest = UINT64_C (0xfedcba9876543210);
  message->update_count = JL_MESSAGE_UPDATE_MAX;
  for (uint32_t i = 0; i < message->update_count; i++)
    fill_member (&message->updates[i], i);
  message->strike_count = JL_MESSAGE_STRIKE_MAX;
  for (uint32_t i = 0; i < message->strike_count; i++)
    {
      message->strikes[i].digest = ~UINT64_C (0) - i;
      message->strikes[i].target = jl_member_id (endpoint (10));
      message->strikes[i].age_ms = i;
    }
}

static struct jl_control *
open_control (uint16_t port, struct inbox *inbox)
{
  GError *error = NULL;
  struct jl_control *control
      = jl_control_open (endpoint (port), receive, inbox, &error);

  cr_assert_not_null (control, "%s", error == NULL ? "" : error->message);
  return control;
}

Test (control, every_type_arrives_unchanged)
{
  struct inbox inbox = { .count = 0 };
  struct jl_control *first = open_control (TEST_PORT, &inbox);
  struct jl_control *second = open_control (TEST_PORT + 1, &inbox);
  struct jl_control_counts sent;
  struct jl_control_counts received;

  for (int type = 0; type < JL_MESSAGE_TYPE_COUNT; type++)
    {
      struct jl_message message;

      fill_message (&message, (enum jl_message_type)type);
      jl_control_send (first, endpoint (TEST_PORT + 1), &message);
      wait_for (&inbox, (uint32_t)type + 1);
      cr_assert_arr_eq (&message, &inbox.last, sizeof message);
    }
  jl_control_get_counts (first, &sent);
  jl_control_get_counts (second, &received);
  cr_assert_eq (sent.sent, JL_MESSAGE_TYPE_COUNT);
  cr_assert_eq (received.received, JL_MESSAGE_TYPE_COUNT);
  cr_assert_eq (sent.sent_bytes, received.received_bytes);
  cr_assert_eq (received.malformed, 0);
  cr_assert_eq (sent.received, 0, "a reply was sent");
  jl_control_close (first);
  jl_control_close (second);
}

Test (control, malformed_datagrams_are_counted_and_dropped)
{
  struct inbox inbox = { .count = 0 };
  struct jl_control *control = open_control (TEST_PORT + 2, &inbox);
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (TEST_IP),
                            .sin_port = htons (TEST_PORT + 2) };
  _Alignas(8) uint8_t data[2 * JL_WIRE_BYTES_MAX] = { 0 };
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  struct jl_message message;
  struct jl_control_counts counts;
  size_t size;

  fill_message (&message, JL_MESSAGE_PROBE);
  size = jl_wire_encode (&message, 1, data);
  cr_assert_gt (size, 0);
  sendto (fd, data, 0, 0, (struct sockaddr *)&to, sizeof to);
  sendto (fd, data, size - 1, 0, (struct sockaddr *)&to, sizeof to);
  sendto (fd, data, size + 4, 0, (struct sockaddr *)&to, sizeof to);
  sendto (fd, data, sizeof data, 0, (struct sockaddr *)&to, sizeof to);
  sendto (fd, data + 4, size - 4, 0, (struct sockaddr *)&to, sizeof to);
  /* The loopback interface delivers datagrams of one sender in order. */
  sendto (fd, data, size, 0, (struct sockaddr *)&to, sizeof to);
  wait_for (&inbox, 1);
  jl_control_get_counts (control, &counts);
  cr_assert_eq (counts.malformed, 5);
  cr_assert_eq (counts.received, 6);
  close (fd);
  jl_control_close (control);
}

Test (control, close_frees_the_address)
{
  struct inbox inbox = { .count = 0 };
  GError *error = NULL;

  for (int i = 0; i < 3; i++)
    {
      struct jl_control *control = open_control (TEST_PORT + 3, &inbox);

      cr_assert_null (
          jl_control_open (endpoint (TEST_PORT + 3), receive, &inbox, &error));
      cr_assert (
          g_error_matches (error, JL_CONTROL_ERROR, JL_CONTROL_ERROR_BIND));
      g_clear_error (&error);
      jl_control_close (control);
    }
}

/* Whether encoding or decoding rejects @message. */
static bool
is_rejected (const struct jl_message *message)
{
  _Alignas(8) uint8_t data[JL_WIRE_BYTES_MAX];
  struct jl_message decoded;
  size_t size = jl_wire_encode (message, 1, data);

  return size == 0 || !jl_wire_decode (data, size, &decoded);
}

#define CHECK_REJECTED(change)                                                 \
  do                                                                           \
    {                                                                          \
      fill_message (&message, JL_MESSAGE_SYNC);                                \
      cr_assert_not (is_rejected (&message));                                  \
      change;                                                                  \
      cr_assert (is_rejected (&message), #change);                             \
    }                                                                          \
  while (0)

Test (control, values_out_of_bounds_are_refused)
{
  struct jl_message message;

  CHECK_REJECTED (message.type = JL_MESSAGE_TYPE_COUNT);
  CHECK_REJECTED (message.from.member = 0);
  CHECK_REJECTED (message.from.member |= UINT64_C (1) << 48);
  CHECK_REJECTED (message.from.epoch = 0);
  CHECK_REJECTED (message.to.member = 5);
  CHECK_REJECTED (message.subject = 5);
  CHECK_REJECTED (message.attempt.origin.epoch = 0);
  CHECK_REJECTED (message.update_count = JL_MESSAGE_UPDATE_MAX + 1);
  CHECK_REJECTED (message.strike_count = JL_MESSAGE_STRIKE_MAX + 1);
  CHECK_REJECTED (message.updates[3].state = JL_MEMBER_STATE_COUNT);
  CHECK_REJECTED (message.updates[3].identity.epoch = 0);
  CHECK_REJECTED (message.updates[3].identity.member = 0);
  CHECK_REJECTED (message.updates[3].incarnation = UINT32_MAX);
  CHECK_REJECTED (message.updates[3].peer.port = 0);
  CHECK_REJECTED (message.updates[3].peer.ip = 0);
  CHECK_REJECTED (message.updates[3].zone[1] = '"');
  CHECK_REJECTED (message.updates[3].service[1] = '\n');
  CHECK_REJECTED (message.updates[3].slots = UINT32_MAX);
  CHECK_REJECTED (message.updates[3].connections = UINT32_MAX);
  CHECK_REJECTED (message.strikes[2].target = 0);
}

/* A message with one changed byte is either rejected or within its bounds. */
Test (control, changed_bytes_never_break_the_decoder)
{
  _Alignas(8) uint8_t data[JL_WIRE_BYTES_MAX];
  GRand *random = g_rand_new_with_seed (1);
  struct jl_message message;
  struct jl_message decoded;
  size_t size;

  fill_message (&message, JL_MESSAGE_SYNC);
  size = jl_wire_encode (&message, 1, data);
  for (size_t i = 0; i < size; i++)
    {
      uint8_t saved = data[i];

      data[i] = (uint8_t)g_rand_int (random);
      if (jl_wire_decode (data, size, &decoded))
        {
          cr_assert_leq (decoded.update_count, JL_MESSAGE_UPDATE_MAX);
          cr_assert_leq (decoded.strike_count, JL_MESSAGE_STRIKE_MAX);
          cr_assert_lt (decoded.type, JL_MESSAGE_TYPE_COUNT);
        }
      data[i] = saved;
    }
  for (size_t shorter = 0; shorter < size; shorter++)
    cr_assert_not (jl_wire_decode (data, shorter, &decoded));
  g_rand_free (random);
}
