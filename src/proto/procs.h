/**
 * @file
 * The procedures of the inner protocol: their codecs, sizes and names.
 */
#ifndef HS_PROTO_PROCS_H
#define HS_PROTO_PROCS_H

#include <stdbool.h>

#include "proto/hspoke.h"

/** One more than the highest procedure number. */
#define HS_PROC_COUNT 19

typedef struct
{
  const char *name;   /**< For counters and logs. */
  xdrproc_t args;     /**< Codec of the argument struct. */
  size_t args_size;   /**< Its size in memory. */
  xdrproc_t result;   /**< Codec of the result struct; NULL: one-way. */
  size_t result_size; /**< Its size in memory. */
} HsProc;

/** The entry for a procedure number; NULL if there is none. */
const HsProc *hs_proc (uint32_t number);

#endif
