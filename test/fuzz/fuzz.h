/**
 * @file
 * Entry points of the fuzzers: one a surface that takes bytes from outside.
 * Each may be run by our own driver or by libFuzzer. A broken property
 * aborts the process after naming itself on standard error.
 */
#ifndef HS_TEST_FUZZ_FUZZ_H
#define HS_TEST_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** The largest input that is tried, in bytes. */
#define HS_FUZZ_INPUT_MAX ((size_t) 64 * 1024)

typedef int (*HsFuzzFunc) (const uint8_t *data, size_t n);

typedef struct
{
  const char *name; /**< Also the folder of its corpus. */
  HsFuzzFunc run;   /**< Always returns 0. */
} HsFuzzSurface;

/** All surfaces; the last one has no name. */
extern const HsFuzzSurface HS_FUZZ_SURFACES[];

/** The surface of that name, or NULL. */
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

/** Aborts unless a property holds. */
#define HS_FUZZ_REQUIRE(holds)                                                 \
  do                                                                           \
    {                                                                          \
      if (!(holds))                                                            \
        hs_fuzz_fail (__FILE__, __LINE__, #holds);                             \
    }                                                                          \
  while (0)

G_NORETURN void hs_fuzz_fail (const char *file, int line, const char *what);

/** An error must have a kind, a message and, after "; ", a remedy. */
void hs_fuzz_require_error (const GError *error);

/** Starts to count what this process allocates. */
void hs_fuzz_alloc_count_start (void);

/** Bytes allocated since then, freed or not; 0 in builds without ASan. */
size_t hs_fuzz_alloc_count_stop (void);

#endif
