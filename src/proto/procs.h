/**
 * @file
 * Table of the inner protocol's procedures: names, codecs and sizes.
 */
#ifndef HS_PROTO_PROCS_H
#define HS_PROTO_PROCS_H

#include <stdbool.h>

#include "proto/hspoke.h"

/** One more than the highest procedure number. */
#define HS_PROC_COUNT 23

typedef struct
{
  const char *name;   /**< Label in counters and logs. */
  xdrproc_t args;     /**< Codec of the argument struct. */
  size_t args_size;   /**< Size of the argument struct in bytes. */
  xdrproc_t result;   /**< Codec of the result struct; NULL: one-way. */
  size_t result_size; /**< Size of the result struct in bytes. */
} HsProc;

/** Looks up a procedure by its number; NULL if there is none. */
const HsProc *hs_proc (uint32_t number);

#endif
