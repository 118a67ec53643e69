/**
 * @file
 * Typed errors. Every message names what failed and the remedy.
 */
#ifndef HS_BASE_ERROR_H
#define HS_BASE_ERROR_H

#include <glib.h>

#define HS_ERROR (hs_error_quark ())

/** Kinds of error; hs_error_kind_name() gives the machine-readable word. */
typedef enum
{
  HS_ERROR_INVALID,       /**< Malformed input; correct it and send again. */
  HS_ERROR_UNAUTHORIZED,  /**< Missing or wrong key. */
  HS_ERROR_NOT_FOUND,     /**< No such customer, plan, job or path. */
  HS_ERROR_CONFLICT,      /**< Same id, other content; or a stale revision. */
  HS_ERROR_TOO_LARGE,     /**< Over a bound on size or count. */
  HS_ERROR_LIMIT,         /**< Over an allowance; not run; retry later. */
  HS_ERROR_UNSATISFIABLE, /**< No target could ever run it; not run. */
  HS_ERROR_DEADLINE,      /**< The deadline can't be met; not run. */
  HS_ERROR_EXPIRED,       /**< Id older than the retention window. */
  HS_ERROR_CANCELLED,     /**< Cancelled by the caller. */
  HS_ERROR_UNAVAILABLE,   /**< No owner or no store now; not run. */
  HS_ERROR_UNKNOWN,       /**< The outcome is not known; resubmit same id. */
  HS_ERROR_SHUTTING_DOWN, /**< This entry is leaving; use another; not run. */
  HS_ERROR_PROTOCOL,      /**< A peer broke the protocol. */
  HS_ERROR_IO,            /**< A system call failed. */
  HS_ERROR_INTERNAL       /**< A defect; report it. */
} HsErrorKind;

GQuark hs_error_quark (void);

/** The machine-readable word for a kind, as "limit"; static storage. */
const char *hs_error_kind_name (HsErrorKind kind);

/** The HTTP status that answers an error of this kind. */
unsigned int hs_error_http_status (HsErrorKind kind);

#endif
