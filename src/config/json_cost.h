/**
 * @file
 * Upper estimates of the memory that json-c needs for a text, before it is
 * parsed: a tree may need 300 times the memory of its text.
 */
#ifndef HS_CONFIG_JSON_COST_H
#define HS_CONFIG_JSON_COST_H

#include <stddef.h>

/** Bytes for the value, member or element that a character outside of strings
 *  begins or separates; 0 for others. */
size_t hs_json_cost_of (char c);

/**
 * Bytes for the objects, arrays, members and elements of a text, without the
 * contents of its strings. An estimate for parsers that know strings in double
 * quotes only; if the text isn't well-formed, it holds up to the first error.
 */
size_t hs_json_cost (const char *text, size_t len);

#endif
