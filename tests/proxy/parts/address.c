/**
 * DOC: An address is reserved by a bound socket, which is closed by the end of
 * the process.
 */

#include "proxy/parts/address.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/* Port of the socket that reserves an address. */
#define RESERVATION_PORT 16999
/* The second byte of the addresses is at least FIRST_NETWORK; it is increased
 * until the address is free, at most NETWORK_COUNT - 1 times. */
#define FIRST_NETWORK 240u
#define NETWORK_COUNT 15u

static bool
reserve (uint32_t ip)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_addr.s_addr = htonl (ip),
    .sin_port = htons (RESERVATION_PORT),
  };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  cr_assert_geq (fd, 0);
  if (bind (fd, (const struct sockaddr *)&address, sizeof address) == 0)
    return true;
  close (fd);
  return false;
}

uint32_t
test_address (unsigned host)
{
  for (unsigned i = 0; i < NETWORK_COUNT; i++)
    {
      uint32_t ip = INADDR_LOOPBACK + ((FIRST_NETWORK + i) << 16) + (host << 8);

      if (reserve (ip))
        return ip;
    }
  cr_assert_fail ("all addresses are in use");
  return 0;
}
