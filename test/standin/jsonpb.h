/**
 * @file
 * Reads and writes fields in the JSON mapping of Protocol Buffers (proto3).
 */
#ifndef HS_STANDIN_JSONPB_H
#define HS_STANDIN_JSONPB_H

#include <stdint.h>

#include <json-c/json.h>
#include <talloc.h>

/** Parses a JSON object; NULL if the text isn't one. */
struct json_object *hs_jsonpb_parse (const char *text, size_t len);

/** Returns a member that is an object; NULL if absent. */
struct json_object *hs_jsonpb_object (struct json_object *object,
                                      const char *name);

/** Returns an integer given as number or string; 0 if absent. */
int64_t hs_jsonpb_int64 (struct json_object *object, const char *name);

/** Returns decoded bytes with a terminating NUL, which @p len doesn't count;
 *  NULL if absent. */
char *hs_jsonpb_bytes (TALLOC_CTX *ctx,
                       struct json_object *object,
                       const char *name,
                       size_t *len);

void hs_jsonpb_add_int64 (struct json_object *object,
                          const char *name,
                          int64_t value);
void hs_jsonpb_add_bytes (struct json_object *object,
                          const char *name,
                          const void *data,
                          size_t len);

#endif
