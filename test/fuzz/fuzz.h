/**
 * @file
 * Entry points of the fuzzers. There is one for each surface, that is, each
 * interface that accepts bytes from outside. Each can be run by driver.c or by
 * libFuzzer. When a property is violated, it is printed on standard error and
 * the process aborts.
 */
#ifndef HS_TEST_FUZZ_FUZZ_H
#define HS_TEST_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Maximum size of an input in bytes. */
#define HS_FUZZ_INPUT_MAX ((size_t) 64 * 1024)

typedef int (*HsFuzzFunc) (const uint8_t *data, size_t n);

typedef struct
{
  const char *name; /**< Also the name of its corpus folder. */
  HsFuzzFunc run;   /**< Always returns 0. */
} HsFuzzSurface;

/** All surfaces, terminated by one whose name is NULL. */
extern const HsFuzzSurface HS_FUZZ_SURFACES[];

/** Returns the surface with a name, or NULL. */
const HsFuzzSurface *hs_fuzz_surface (const char *name);

int hs_fuzz_job (const uint8_t *data, size_t n);
int hs_fuzz_answer (const uint8_t *data, size_t n);
int hs_fuzz_settings (const uint8_t *data, size_t n);
int hs_fuzz_plan (const uint8_t *data, size_t n);
int hs_fuzz_allowance (const uint8_t *data, size_t n);
int hs_fuzz_lists (const uint8_t *data, size_t n);
int hs_fuzz_announcement (const uint8_t *data, size_t n);
int hs_fuzz_record (const uint8_t *data, size_t n);
int hs_fuzz_xdr (const uint8_t *data, size_t n);
int hs_fuzz_store (const uint8_t *data, size_t n);
int hs_fuzz_claim (const uint8_t *data, size_t n);
int hs_fuzz_platform (const uint8_t *data, size_t n);

/** Aborts the process unless a property holds. */
#define HS_FUZZ_REQUIRE(holds)                                                 \
  do                                                                           \
    {                                                                          \
      if (!(holds))                                                            \
        hs_fuzz_fail (__FILE__, __LINE__, #holds);                             \
    }                                                                          \
  while (0)

G_NORETURN void hs_fuzz_fail (const char *file, int line, const char *what);

/** Requires that an error has a valid kind and a message with a remedy after
 *  "; ". */
void hs_fuzz_require_error (const GError *error);

/** Starts to count the bytes that this process allocates. */
void hs_fuzz_alloc_count_start (void);

/** Stops counting. Returns the bytes allocated since the start, including those
 *  freed since; 0 in builds without ASan. */
size_t hs_fuzz_alloc_count_stop (void);

#endif
