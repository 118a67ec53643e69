/**
 * @file
 * The messages between a target and its agent: the signed announcement.
 * Pure; shared by the agent and by programs that act as a target.
 */
#ifndef HS_AGENT_TARGET_MSG_H
#define HS_AGENT_TARGET_MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** Path of the announcement (POST) and of the leave (DELETE). */
#define HS_TARGET_PATH "/v1/target"
/** Header with the signature. */
#define HS_TARGET_AUTH_HEADER "Hs-Auth"
/** Header that names a task, in the request and in its answer. */
#define HS_TARGET_TASK_HEADER "Hs-Task"
/** Header with the bound on the run time. */
#define HS_TARGET_TIMEOUT_HEADER "Hs-Timeout-Ms"
/** Hexadecimal HMAC-SHA256 and a NUL byte. */
#define HS_TARGET_SIGNATURE_SIZE 65
/** Bound on the body of an announcement. */
#define HS_TARGET_BODY_MAX 4096

/** What a target announces. */
typedef struct
{
  char address[HSX_ADDRESS_MAX + 1]; /**< "IP:port" that serves POST /run. */
  uint32_t slots;
  hsx_needs capacity;
  HsTime ttl; /**< The announcement lapses after this. */
} HsTargetAnnouncement;

/** Signs method, path and body under the cluster key. */
void hs_target_sign (const char *key,
                     const char *method,
                     const char *path,
                     const char *body,
                     size_t body_len,
                     char out[HS_TARGET_SIGNATURE_SIZE]);

/** Compares a signature in constant time; @p signature may be NULL. */
bool
hs_target_signature_matches (const char *signature,
                             const char expected[HS_TARGET_SIGNATURE_SIZE]);

/**
 * Reads an announcement. Errors: HS_ERROR_INVALID, with the key named.
 * Unknown and repeated keys are errors.
 */
bool hs_target_announcement_parse (const char *body,
                                   size_t len,
                                   HsTargetAnnouncement *out,
                                   GError **error);

#endif
