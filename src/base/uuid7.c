#include "base/uuid7.h"

#include <stdio.h>
#include <string.h>

static int hex_value (char c);

void
hs_uuid7_format (int64_t wall_ms,
                 const uint8_t random[HS_UUID7_RANDOM_SIZE],
                 char out[HS_UUID_SIZE])
{
  uint64_t ms = (uint64_t) wall_ms;

  snprintf (
      out, HS_UUID_SIZE, "%08x-%04x-7%x%02x-%02x%02x-%02x%02x%02x%02x%02x%02x",
      (unsigned int) (ms >> 16) & 0xffffffffu, (unsigned int) ms & 0xffffu,
      random[0] & 0xfu, random[1], (random[2] & 0x3fu) | 0x80u, random[3],
      random[4], random[5], random[6], random[7], random[8], random[9]);
}

bool
hs_uuid7_parse (const char *id, int64_t *wall_ms)
{
  int64_t ms = 0;
  int i;

  if (strlen (id) != HS_UUID_SIZE - 1)
    return false;
  for (i = 0; i < HS_UUID_SIZE - 1; i++)
    {
      bool dash = i == 8 || i == 13 || i == 18 || i == 23;

      if (dash ? id[i] != '-' : hex_value (id[i]) < 0)
        return false;
      if (!dash && i < 13)
        ms = ms << 4 | hex_value (id[i]);
    }
  if (id[14] != '7' || (hex_value (id[19]) & 0xc) != 0x8)
    return false;
  *wall_ms = ms;
  return true;
}

/* Upper case is rejected, so that each id has one spelling only. */
static int
hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}
