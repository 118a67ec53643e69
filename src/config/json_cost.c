#include "config/json_cost.h"

#include <stdbool.h>

/** Bytes of json-c 0.16 for an object with its first table, for an array with
 *  its first elements, and for an element. A member has two of the last: value,
 *  name, and its place in tables that are copied to larger ones. Computed from
 *  the sizes of its structures: 790, 370, 90 and 280. */
#define OBJECT_BYTES 900
#define ARRAY_BYTES 450
#define ITEM_BYTES 150

size_t
hs_json_cost_of (char c)
{
  switch (c)
    {
    case '{':
      return OBJECT_BYTES;
    case '[':
      return ARRAY_BYTES;
    case ',':
    case ':':
      return ITEM_BYTES;
    default:
      return 0;
    }
}

size_t
hs_json_cost (const char *text, size_t len)
{
  bool in_string = false;
  size_t bytes = 0;
  size_t i;

  for (i = 0; i < len; i++)
    if (in_string && text[i] == '\\')
      i++;
    else if (text[i] == '"')
      in_string = !in_string;
    else if (!in_string)
      bytes += hs_json_cost_of (text[i]);
  return bytes;
}
