/**
 * @file
 * Faulty variants of the system, made by changing messages on their way. They
 * show that the checks can fail.
 */
#ifndef HS_MATRIX_MUTANTS_H
#define HS_MATRIX_MUTANTS_H

#include <stdbool.h>

#include "fake_frontend.h"

typedef enum
{
  MUTANT_NONE,
  MUTANT_GATE,    /**< Agents accept any permit and epoch. */
  MUTANT_MEMORY,  /**< Agents tell a new owner of no start. */
  MUTANT_SETTLE,  /**< Agents deny what was sent before a break. */
  MUTANT_LEASE,   /**< Entries take their lease for ten times as long. */
  MUTANT_COMPARE, /**< The store writes whatever the compares say. */
  MUTANT_CLAIM,   /**< Claims are confirmed and not written. */
  MUTANT_LIMITS,  /**< Entries allow more than the lists say. */
  MUTANT_STALE,   /**< Watches don't tell of edits. */
  MUTANT_LEAVE,   /**< Agents aren't told that their target leaves. */
  MUTANT_PARTIAL, /**< Answers lack their last task. */
  MUTANT_CROSSED, /**< Answers carry another task's result. */
  MUTANT_NOT_RUN, /**< Failed tasks are said not to have run. */
  MUTANT_DRAIN,   /**< Entries stop before they have drained. */
  MUTANT_TOLD,    /**< Entries and agents hear of no suspicion. */
  MUTANT_COUNT
} Mutant;

const char *mutant_name (Mutant mutant);

/** Chooses the variant that runs from here on. */
void mutant_select (Mutant mutant);
bool mutant_is_active (Mutant mutant);

/** Changes a call on its way to @p to. */
void mutant_alter_call (const Proc *to, uint32_t proc, void *args);

/** Changes a reply. */
void mutant_alter_reply (uint32_t proc, void *result);

/** Changes an answer to a caller; its arrays are talloc objects. */
void mutant_alter_answer (hsx_answer *answer);

#endif
