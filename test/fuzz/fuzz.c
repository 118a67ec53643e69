#include "fuzz.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#ifdef __SANITIZE_ADDRESS__
/* Part of the sanitizers' common interface, for which gcc has no header. */
int __sanitizer_install_malloc_and_free_hooks (
    void (*on_malloc) (const volatile void *memory, size_t size),
    void (*on_free) (const volatile void *memory));
#endif

#define SURFACE(name)                                                          \
  {                                                                            \
#name, hs_fuzz_##name                                                      \
  }

const HsFuzzSurface HS_FUZZ_SURFACES[] = {
  SURFACE (job),          SURFACE (answer),    SURFACE (settings),
  SURFACE (plan),         SURFACE (allowance), SURFACE (lists),
  SURFACE (announcement), SURFACE (record),    SURFACE (xdr),
  SURFACE (store),        SURFACE (claim),     SURFACE (platform),
  { NULL, NULL },
};

static size_t allocated_bytes;

const HsFuzzSurface *
hs_fuzz_surface (const char *name)
{
  const HsFuzzSurface *surface;

  for (surface = HS_FUZZ_SURFACES; surface->name != NULL; surface++)
    if (strcmp (surface->name, name) == 0)
      return surface;
  return NULL;
}

void
hs_fuzz_fail (const char *file, int line, const char *what)
{
  fprintf (stderr, "%s:%d: property violated: %s\n", file, line, what);
  abort ();
}

void
hs_fuzz_require_error (const GError *error)
{
  const char *remedy;

  HS_FUZZ_REQUIRE (error != NULL);
  HS_FUZZ_REQUIRE (error->domain == HS_ERROR);
  HS_FUZZ_REQUIRE (error->code >= 0 && error->code <= HS_ERROR_INTERNAL);
  HS_FUZZ_REQUIRE (g_utf8_validate (error->message, -1, NULL));
  remedy = strstr (error->message, "; ");
  HS_FUZZ_REQUIRE (remedy != NULL && remedy > error->message
                   && remedy[2] != '\0');
}

#ifdef __SANITIZE_ADDRESS__

static bool counting;

static void
on_malloc (const volatile void *memory, size_t size)
{
  (void) memory;
  if (counting)
    allocated_bytes += size;
}

static void
on_free (const volatile void *memory)
{
  (void) memory;
}

void
hs_fuzz_alloc_count_start (void)
{
  static bool installed;

  if (!installed)
    __sanitizer_install_malloc_and_free_hooks (on_malloc, on_free);
  installed = true;
  allocated_bytes = 0;
  counting = true;
}

size_t
hs_fuzz_alloc_count_stop (void)
{
  counting = false;
  return allocated_bytes;
}

#else

void
hs_fuzz_alloc_count_start (void)
{
  allocated_bytes = 0;
}

size_t
hs_fuzz_alloc_count_stop (void)
{
  return allocated_bytes;
}

#endif
