/**
 * @file
 * Fields of proto3's JSON mapping, as the stand-in reads and writes them.
 */
#ifndef HS_STANDIN_JSONPB_H
#define HS_STANDIN_JSONPB_H

#include <stdint.h>

#include <json-c/json.h>
#include <talloc.h>

/** Parses an object; NULL if the text isn't one. */
struct json_object *hs_jsonpb_parse (const char *text, size_t len);

/** A member object; NULL if absent. */
struct json_object *hs_jsonpb_object (struct json_object *object,
                                      const char *name);

/** An integer given as number or string; 0 if absent. */
int64_t hs_jsonpb_int64 (struct json_object *object, const char *name);

/** Decoded bytes with a NUL behind; NULL if absent. */
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
