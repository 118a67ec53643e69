/**
 * @file
 * UUIDs of version 7 (RFC 9562), which carry their time of minting.
 */
#ifndef HS_BASE_UUID7_H
#define HS_BASE_UUID7_H

#include <stdbool.h>
#include <stdint.h>

/** Characters of a UUID with its terminator. */
#define HS_UUID_SIZE 37

/** Random bytes that one id takes. */
#define HS_UUID7_RANDOM_SIZE 10

/**
 * Writes an id in the usual lower-case form.
 * @param wall_ms time of minting, milliseconds since 1970
 */
void hs_uuid7_format (int64_t wall_ms,
                      const uint8_t random[HS_UUID7_RANDOM_SIZE],
                      char out[HS_UUID_SIZE]);

/**
 * Reads the time of minting.
 * @return false if @p id isn't a UUID of version 7 in lower case
 */
bool hs_uuid7_parse (const char *id, int64_t *wall_ms);

#endif
