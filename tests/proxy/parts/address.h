#ifndef TESTS_PROXY_ADDRESS_H
#define TESTS_PROXY_ADDRESS_H

/**
 * DOC: Loopback addresses of tests, which run in parallel, also several runs of
 * the same test.
 */

#include <stdint.h>

/**
 * test_address - returns a loopback address that no other process uses as long
 * as this one lives
 * @host: part of the address, from 0 to 255; it differs between the tests of a
 *        program
 *
 * Return: the address in host byte order. The test fails if all are in use.
 */
uint32_t test_address (unsigned host);

#endif
