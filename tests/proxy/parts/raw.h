#ifndef TESTS_PROXY_RAW_H
#define TESTS_PROXY_RAW_H

/**
 * DOC: Raw sockets beside a rig: peers of the proxy that write any bytes, and
 * read the proxy's bytes as they are.
 *
 * A function that waits runs the event loops of the rig meanwhile, and gives up
 * after 10 s.
 */

#include "proxy/parts/rig.h"

/**
 * struct raw_answer - a response as a client of the proxy sees it
 * @status: status code, 0 if the head is not complete
 * @complete: the response is complete by its own framing
 * @extra: bytes follow the complete response
 * @head: status line and fields
 * @body: decoded body, as far as it was received
 */
struct raw_answer
{
  unsigned status;
  bool complete;
  bool extra;
  char *head;
  GString *body;
};

/**
 * struct raw_peer - a listener and its connections on which no request has
 * arrived, as those by which the proxy checks whether its target lives
 * @waiting: array of int
 */
struct raw_peer
{
  int listener;
  GArray *waiting;
};

/**
 * raw_peer_open - accepts connections at one of the rig's ports
 */
void
raw_peer_open (struct raw_peer *peer, const struct rig *rig, uint16_t port);

/**
 * raw_turn - runs the event loops of the rig until nothing is ready
 */
void raw_turn (struct rig *rig);

/**
 * raw_accept_request - waits for a request on a new connection
 * @request: its head is appended, and what follows that at once
 *
 * Return: the connection, -1 if there is none.
 */
int
raw_accept_request (struct rig *rig, struct raw_peer *peer, GString *request);

/**
 * raw_poll_request - like raw_accept_request(), without waiting
 */
int raw_poll_request (struct rig *rig, struct raw_peer *peer, GString *request);

/**
 * raw_read_available - appends what has arrived to @text
 *
 * Return: false at the end of the connection.
 */
bool raw_read_available (int fd, GString *text);

/**
 * raw_read_all - reads until the connection ends, and appends it to @text
 *
 * Return: false if it does not end.
 */
bool raw_read_all (struct rig *rig, int fd, GString *text);

/**
 * raw_forget_failures - lets the proxy send requests to all daemons again
 */
void raw_forget_failures (struct rig *rig);

/**
 * raw_send - sends without waiting; all must fit into the socket's buffer
 */
void raw_send (int fd, const char *data, size_t size);

/**
 * raw_reset - closes a connection with a TCP reset
 */
void raw_reset (int fd);

/**
 * raw_parse - reads a response
 * @no_body: it has no body, as for a HEAD request
 */
struct raw_answer raw_parse (const GString *text, bool no_body);

/**
 * raw_answer_clear - frees what the answer holds
 */
void raw_answer_clear (struct raw_answer *answer);

#endif
