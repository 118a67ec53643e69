/**
 * @file
 * Paths and queries of the operators' server.
 */
#include <string.h>

#include "entry/admin_private.h"

#define APPLY_SUFFIX ":apply"

static const struct
{
  const char *path;
  HsListKind kind;
} LISTS[] = {
  { "/v1/plans", HS_LIST_PLANS },
  { "/v1/allowances", HS_LIST_ALLOWANCES },
};

static const struct
{
  const char *path;
  HsAdminVerb verb;
} PAGES[] = {
  { "/v1/status", HS_ADMIN_STATUS },
  { "/metrics", HS_ADMIN_METRICS },
};

static bool
route_list (HsAdminRequest *request, const char *rest, const char *method);
static void read_revision (HsAdminRequest *request);

/** Refuses a method that the path doesn't take. */
static bool
only (HsAdminRequest *request, const char *method, const char *allowed)
{
  if (strcmp (method, allowed) == 0)
    return true;
  request->status = MHD_HTTP_METHOD_NOT_ALLOWED;
  request->allow = allowed;
  g_set_error (&request->error, HS_ERROR, HS_ERROR_INVALID,
               "this path doesn't take the method; use %s", allowed);
  return false;
}

void
hs_admin_route (HsAdminRequest *request, const char *url, const char *method)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (PAGES); i++)
    if (strcmp (url, PAGES[i].path) == 0)
      {
        request->verb = PAGES[i].verb;
        only (request, method, MHD_HTTP_METHOD_GET);
        return;
      }
  for (i = 0; i < G_N_ELEMENTS (LISTS); i++)
    if (g_str_has_prefix (url, LISTS[i].path))
      {
        request->kind = LISTS[i].kind;
        if (route_list (request, url + strlen (LISTS[i].path), method))
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
      request->verb = HS_ADMIN_GET;
      return;
    }
  if (strcmp (method, MHD_HTTP_METHOD_PUT) == 0)
    request->verb = HS_ADMIN_PUT;
  else if (strcmp (method, MHD_HTTP_METHOD_DELETE) == 0)
    request->verb = HS_ADMIN_DELETE;
  else
    {
      only (request, method, "GET, PUT, DELETE");
      return;
    }
  read_revision (request);
}

/** @return false if there is no such path */
static bool
route_list (HsAdminRequest *request, const char *rest, const char *method)
{
  if (rest[0] == '\0')
    {
      request->verb = HS_ADMIN_LIST;
      only (request, method, MHD_HTTP_METHOD_GET);
      return true;
    }
  if (strcmp (rest, APPLY_SUFFIX) == 0)
    {
      request->verb = HS_ADMIN_APPLY;
      only (request, method, MHD_HTTP_METHOD_POST);
      return true;
    }
  if (rest[0] != '/' || !hs_name_valid (rest + 1))
    return false;
  g_strlcpy (request->name, rest + 1, sizeof request->name);
  route_record (request, method);
  return true;
}

static void
read_revision (HsAdminRequest *request)
{
  const char *text = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "revision");
  gint64 least = request->verb == HS_ADMIN_DELETE ? 1 : 0;

  if (text != NULL
      && g_ascii_string_to_signed (text, 10, least, G_MAXINT64,
                                   &request->revision, NULL))
    return;
  g_set_error (&request->error, HS_ERROR, HS_ERROR_INVALID,
               "revision: give the revision of the record that is to be "
               "replaced as ?revision=N; 0 creates one");
}
