/**
 * @file
 * Parses the paths and queries of the operators' HTTP server.
 */
#include <string.h>

#include "entry/admin_private.h"

#define APPLY_SUFFIX ":apply"

static const struct
{
  const char *path;
  HsListKind kind;
} LIST_PATHS[] = {
  { "/v1/plans", HS_LIST_PLANS },
  { "/v1/allowances", HS_LIST_ALLOWANCES },
};

static const struct
{
  const char *path;
  HsAdminAction action;
} PAGE_PATHS[] = {
  { "/v1/status", HS_ADMIN_STATUS },
  { "/metrics", HS_ADMIN_METRICS },
};

static bool
route_list (HsAdminRequest *request, const char *suffix, const char *method);
static void read_revision (HsAdminRequest *request);

/** Sets the request's error if the path does not support the method. */
static bool
check_method (HsAdminRequest *request, const char *method, const char *allowed)
{
  if (strcmp (method, allowed) == 0)
    return true;
  request->status_override = MHD_HTTP_METHOD_NOT_ALLOWED;
  request->allowed_methods = allowed;
  g_set_error (&request->error, HS_ERROR, HS_ERROR_INVALID,
               "method not allowed for this path; use %s", allowed);
  return false;
}

void
hs_admin_route_request (HsAdminRequest *request,
                        const char *url,
                        const char *method)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (PAGE_PATHS); i++)
    if (strcmp (url, PAGE_PATHS[i].path) == 0)
      {
        request->action = PAGE_PATHS[i].action;
        check_method (request, method, MHD_HTTP_METHOD_GET);
        return;
      }
  for (i = 0; i < G_N_ELEMENTS (LIST_PATHS); i++)
    if (g_str_has_prefix (url, LIST_PATHS[i].path))
      {
        request->kind = LIST_PATHS[i].kind;
        if (route_list (request, url + strlen (LIST_PATHS[i].path), method))
          return;
      }
  g_set_error (&request->error, HS_ERROR, HS_ERROR_NOT_FOUND,
               "no such path; use /v1/plans, /v1/allowances, /v1/status or "
               "/metrics");
}

static void
route_record (HsAdminRequest *request, const char *method)
{
  if (strcmp (method, MHD_HTTP_METHOD_GET) == 0)
    {
      request->action = HS_ADMIN_GET;
      return;
    }
  if (strcmp (method, MHD_HTTP_METHOD_PUT) == 0)
    request->action = HS_ADMIN_PUT;
  else if (strcmp (method, MHD_HTTP_METHOD_DELETE) == 0)
    request->action = HS_ADMIN_DELETE;
  else
    {
      check_method (request, method, "GET, PUT, DELETE");
      return;
    }
  read_revision (request);
}

/**
 * Parses what follows the path of a list.
 * @return false if there is no such path
 */
static bool
route_list (HsAdminRequest *request, const char *suffix, const char *method)
{
  if (suffix[0] == '\0')
    {
      request->action = HS_ADMIN_LIST;
      check_method (request, method, MHD_HTTP_METHOD_GET);
      return true;
    }
  if (strcmp (suffix, APPLY_SUFFIX) == 0)
    {
      request->action = HS_ADMIN_APPLY;
      check_method (request, method, MHD_HTTP_METHOD_POST);
      return true;
    }
  if (suffix[0] != '/' || !hs_name_valid (suffix + 1))
    return false;
  g_strlcpy (request->name, suffix + 1, sizeof request->name);
  route_record (request, method);
  return true;
}

static void
read_revision (HsAdminRequest *request)
{
  const char *text = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "revision");
  gint64 min = request->action == HS_ADMIN_DELETE ? 1 : 0;

  if (text != NULL
      && g_ascii_string_to_signed (text, 10, min, G_MAXINT64,
                                   &request->revision, NULL))
    return;
  g_set_error (&request->error, HS_ERROR, HS_ERROR_INVALID,
               "revision: give the revision of the record to replace as "
               "?revision=N, or 0 to create a record");
}
