/**
 * @file
 * Mutants: faulty variants of the system, made by altering messages in
 * transit. Each must be detected, which shows that the checks can fail.
 */
#ifndef HS_MATRIX_MUTANTS_H
#define HS_MATRIX_MUTANTS_H

#include <stdbool.h>

#include "fake_frontend.h"

typedef enum
{
  MUTANT_NONE,
  MUTANT_GATE,    /**< Agents accept any permit and epoch. */
  MUTANT_MEMORY,  /**< Agents report no starts to a new owner. */
  MUTANT_SETTLE,  /**< SETTLE replies report every START that a break left
                     without a known result as refused. */
  MUTANT_LEASE,   /**< Entries assume ten times the granted lease. */
  MUTANT_COMPARE, /**< The store ignores compares and always writes. */
  MUTANT_CLAIM,   /**< The store confirms claims without writing them. */
  MUTANT_LIMITS,  /**< Entries read higher limits than the store holds. */
  MUTANT_STALE,   /**< Watches don't report edits of allowances. */
  MUTANT_LEAVE,   /**< Agents don't learn that their target leaves. */
  MUTANT_PARTIAL, /**< Answers omit the last task. */
  MUTANT_CROSSED, /**< Answers swap the results of two tasks. */
  MUTANT_NOT_RUN, /**< Failed tasks are reported as not run. */
  MUTANT_DRAIN,   /**< Entries and agents stop before they have drained. */
  MUTANT_TOLD,    /**< SUSPECT messages carry incarnation 0 instead of the lost
                     process's. */
  MUTANT_COUNT
} Mutant;

const char *mutant_name (Mutant mutant);

/** Selects the variant for all later runs. */
void mutant_select (Mutant mutant);
bool mutant_is_active (Mutant mutant);

/** Alters the arguments of a call in transit to @p to. */
void mutant_alter_call (const Proc *to, uint32_t proc, void *args);

/** Alters a reply in transit. */
void mutant_alter_reply (uint32_t proc, void *result);

/** Alters an answer to a caller; its arrays are talloc objects. */
void mutant_alter_answer (hsx_answer *answer);

#endif
