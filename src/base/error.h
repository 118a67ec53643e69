/**
 * @file
 * Error kinds. Every error message states what failed and how to remedy it.
 */
#ifndef HS_BASE_ERROR_H
#define HS_BASE_ERROR_H

#include <glib.h>

#define HS_ERROR (hs_error_quark ())

/** Kinds of error; hs_error_kind_name() gives the machine-readable name. */
typedef enum
{
  HS_ERROR_INVALID,      /**< Malformed input; correct it and resend. */
  HS_ERROR_UNAUTHORIZED, /**< Missing or wrong key. */
  HS_ERROR_NOT_FOUND,    /**< No such customer, plan, job or path. */
  HS_ERROR_CONFLICT,     /**< Id reused with other content, or a revision that
                              is no longer current. */
  HS_ERROR_TOO_LARGE,    /**< A limit on size or count is exceeded. */
  HS_ERROR_LIMIT, /**< The customer's allowance is exceeded; not run; retry
                     later. */
  HS_ERROR_UNSATISFIABLE, /**< No target could ever run the task; not run. */
  HS_ERROR_DEADLINE,      /**< The deadline can't be met; not run. */
  HS_ERROR_EXPIRED,       /**< The id is older than the retention period. */
  HS_ERROR_CANCELLED,     /**< Cancelled by the caller. */
  HS_ERROR_UNAVAILABLE,   /**< The entry that owns the job's partition, the
                               store, or the lists read from it are unavailable,
                               or too many agents have fenced the task; not
                               run. */
  HS_ERROR_UNKNOWN,       /**< Outcome unknown; resubmit with the same id. */
  HS_ERROR_SHUTTING_DOWN, /**< This entry is shutting down; use another; not
                               run. */
  HS_ERROR_PROTOCOL,      /**< A peer violated the protocol. */
  HS_ERROR_IO,            /**< A system call failed. */
  HS_ERROR_INTERNAL       /**< A bug in this program; report it. */
} HsErrorKind;

GQuark hs_error_quark (void);

/** Returns the machine-readable name of a kind, such as "limit"; static. */
const char *hs_error_kind_name (HsErrorKind kind);

/** Returns the HTTP status of a response that reports this kind of error. */
unsigned int hs_error_http_status (HsErrorKind kind);

#endif
