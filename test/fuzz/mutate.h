/**
 * @file
 * Inputs for the fuzzers: a corpus and pseudo-random mutations of it. The same
 * corpus, seed and run always give the same input.
 */
#ifndef HS_TEST_FUZZ_MUTATE_H
#define HS_TEST_FUZZ_MUTATE_H

#include <stdint.h>

#include <glib.h>

/** Reads all files of a folder, sorted by name. The elements are GBytes; the
 *  caller owns the array. */
GPtrArray *hs_fuzz_corpus_read (const char *folder, GError **error);

/** Returns the input of one run, owned by the caller. The first runs give the
 *  members of the corpus unchanged. */
GByteArray *
hs_fuzz_mutate (const GPtrArray *corpus, uint64_t seed, uint64_t run);

#endif
