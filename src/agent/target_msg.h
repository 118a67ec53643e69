/**
 * @file
 * What a target and its agent send each other: paths, headers, the signature
 * of announcements and leaves, and the parser of announcements.
 * Pure: no I/O. Shared by the agent and by programs that act as a target.
 */
#ifndef HS_AGENT_TARGET_MSG_H
#define HS_AGENT_TARGET_MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** Path of announcements (POST) and leaves (DELETE). */
#define HS_TARGET_PATH "/v1/target"
/** Header with the signature of an announcement or a leave. */
#define HS_TARGET_AUTH_HEADER "Hs-Auth"
/** Header that names a task, in POST /run and in its answer. */
#define HS_TARGET_TASK_HEADER "Hs-Task"
/** Header of POST /run with the limit on the run time, in milliseconds. */
#define HS_TARGET_TIMEOUT_HEADER "Hs-Timeout-Ms"
/** Size of a signature: hexadecimal HMAC-SHA256 and a NUL byte. */
#define HS_TARGET_SIGNATURE_SIZE 65
/** Maximum size of the body of an announcement, in bytes. */
#define HS_TARGET_BODY_MAX 4096

/** The content of an announcement. */
typedef struct
{
  char address[HSX_ADDRESS_MAX + 1]; /**< "IP:port" that serves POST /run. */
  uint32_t slots;
  hsx_needs capacity;
  HsTime ttl; /**< The announcement expires after this. */
} HsTargetAnnouncement;

/** Signs method, path and body with the cluster key. */
void hs_target_sign (const char *key,
                     const char *method,
                     const char *path,
                     const char *body,
                     size_t body_len,
                     char out[HS_TARGET_SIGNATURE_SIZE]);

/** Compares signatures in constant time; @p signature may be NULL. */
bool
hs_target_signature_matches (const char *signature,
                             const char expected[HS_TARGET_SIGNATURE_SIZE]);

/**
 * Parses an announcement. Unknown and repeated keys are errors.
 * Errors: HS_ERROR_INVALID, with a message that names the key.
 */
bool hs_target_announcement_parse (const char *body,
                                   size_t len,
                                   HsTargetAnnouncement *out,
                                   GError **error);

#endif
