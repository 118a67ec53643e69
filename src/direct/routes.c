#include "direct/routes.h"

#include <string.h>

#include <glib.h>

struct HsRoutes
{
  GHashTable *by_host; /* Normalised host to GPtrArray of HsRoute *. */
  int64_t version;
  uint32_t n_routes;
};

static int free_routes (HsRoutes *routes);
static char *normalise_host (const char *host);

HsRoutes *
hs_routes_new (TALLOC_CTX *ctx, int64_t version)
{
  HsRoutes *routes = talloc_zero (ctx, HsRoutes);

  routes->by_host = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify) g_ptr_array_unref);
  routes->version = version;
  talloc_set_destructor (routes, free_routes);
  return routes;
}

void
hs_routes_add (HsRoutes *routes, const HsRoute *from)
{
  HsRoute *route = talloc (routes, HsRoute);
  char *key = normalise_host (from->host);
  GPtrArray *list = g_hash_table_lookup (routes->by_host, key);

  *route = *from;
  route->customer = talloc_strdup (route, from->customer);
  route->host = talloc_strdup (route, from->host);
  route->path_prefix = talloc_strdup (route, from->path_prefix);
  route->path_prefix_len = strlen (from->path_prefix);
  route->service = talloc_strdup (route, from->service);
  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (routes->by_host, g_strdup (key), list);
    }
  g_ptr_array_add (list, route);
  g_free (key);
  routes->n_routes++;
}

const HsRoute *
hs_routes_find (const HsRoutes *routes, const char *host, const char *path)
{
  g_autofree char *key = normalise_host (host);
  GPtrArray *list = g_hash_table_lookup (routes->by_host, key);
  const HsRoute *best = NULL;
  guint i;

  for (i = 0; list != NULL && i < list->len; i++)
    {
      const HsRoute *route = g_ptr_array_index (list, i);

      if (strncmp (path, route->path_prefix, route->path_prefix_len) == 0
          && (best == NULL || route->path_prefix_len > best->path_prefix_len))
        best = route;
    }
  return best;
}

int64_t
hs_routes_version (const HsRoutes *routes)
{
  return routes->version;
}

uint32_t
hs_routes_count (const HsRoutes *routes)
{
  return routes->n_routes;
}

static int
free_routes (HsRoutes *routes)
{
  g_hash_table_destroy (routes->by_host);
  return 0;
}

static char *
normalise_host (const char *host)
{
  const char *colon = strchr (host, ':');
  char *key = colon != NULL ? g_strndup (host, (gsize) (colon - host))
                            : g_strdup (host);
  char *c;

  for (c = key; *c != '\0'; c++)
    *c = g_ascii_tolower (*c);
  return key;
}
