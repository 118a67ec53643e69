/**
 * @file
 * Inputs for the fuzzers: a corpus and seeded mutations of it. The same
 * corpus, seed and run always make the same input.
 */
#ifndef HS_TEST_FUZZ_MUTATE_H
#define HS_TEST_FUZZ_MUTATE_H

#include <stdint.h>

#include <glib.h>

/** Reads all files of a folder, sorted by name; elements are GBytes. */
GPtrArray *hs_fuzz_corpus_read (const char *folder, GError **error);

/** The input of one run. */
GByteArray *
hs_fuzz_mutate (const GPtrArray *corpus, uint64_t seed, uint64_t run);

#endif
