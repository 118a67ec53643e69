/**
 * @file
 * UUIDs of version 7 (RFC 9562), which contain the time of their creation.
 */
#ifndef HS_BASE_UUID7_H
#define HS_BASE_UUID7_H

#include <stdbool.h>
#include <stdint.h>

/** Size of a UUID in text form, with its terminating NUL. */
#define HS_UUID_SIZE 37

/** Number of random bytes in a UUID. */
#define HS_UUID7_RANDOM_SIZE 10

/**
 * Formats a UUID in the usual lower-case form.
 * @param wall_ms time of creation, in milliseconds since 1970-01-01 UTC
 */
void hs_uuid7_format (int64_t wall_ms,
                      const uint8_t random[HS_UUID7_RANDOM_SIZE],
                      char out[HS_UUID_SIZE]);

/**
 * Extracts the time of creation.
 * @param wall_ms set to milliseconds since 1970-01-01 UTC
 * @return false if @p id isn't a UUID of version 7 in lower case
 */
bool hs_uuid7_parse (const char *id, int64_t *wall_ms);

#endif
