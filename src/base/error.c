#include "base/error.h"

static const struct
{
  const char *name;
  unsigned int status;
} KINDS[] = {
  [HS_ERROR_INVALID] = { "invalid", 400 },
  [HS_ERROR_UNAUTHORIZED] = { "unauthorized", 401 },
  [HS_ERROR_NOT_FOUND] = { "not_found", 404 },
  [HS_ERROR_CONFLICT] = { "conflict", 409 },
  [HS_ERROR_TOO_LARGE] = { "too_large", 413 },
  [HS_ERROR_LIMIT] = { "limit", 429 },
  [HS_ERROR_UNSATISFIABLE] = { "unsatisfiable", 422 },
  [HS_ERROR_DEADLINE] = { "deadline", 422 },
  [HS_ERROR_EXPIRED] = { "expired", 410 },
  [HS_ERROR_CANCELLED] = { "cancelled", 409 },
  [HS_ERROR_UNAVAILABLE] = { "unavailable", 503 },
  [HS_ERROR_UNKNOWN] = { "unknown", 504 },
  [HS_ERROR_SHUTTING_DOWN] = { "shutting_down", 503 },
  [HS_ERROR_PROTOCOL] = { "protocol", 502 },
  [HS_ERROR_IO] = { "io", 500 },
  [HS_ERROR_INTERNAL] = { "internal", 500 },
};

GQuark
hs_error_quark (void)
{
  return g_quark_from_static_string ("hs-error");
}

const char *
hs_error_kind_name (HsErrorKind kind)
{
  return KINDS[kind].name;
}

unsigned int
hs_error_http_status (HsErrorKind kind)
{
  return KINDS[kind].status;
}
