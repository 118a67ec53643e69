/**
 * @file
 * Operators: edit the allowances through entries, sometimes at once.
 */
#ifndef HS_MATRIX_OPERATORS_H
#define HS_MATRIX_OPERATORS_H

#include "world.h"

#define OPERATORS_PLANS 2
#define OPERATORS_BURST 12
#define OPERATORS_STARTS_PER_S 60

typedef struct
{
  uint32_t in_flight;
  uint32_t starts_per_s;
} OperatorLimits;

/** Writes the first records. */
void operators_begin (void);

/** Edits a plan's allowance through an entry. */
void operators_edit (uint32_t plan, Proc *entry);

/** Two operators edit one record through two entries at once. */
void operators_edit_concurrently (void);

/** Notes what the store holds; after each write. */
void operators_record_revisions (void);

const char *operators_plan_name (uint32_t plan);

/** The revision that an entry applies. */
int64_t operators_revision_at (const Proc *entry, uint32_t plan);

/** The newest revision accepted at least @p propagation ago, and since @p
 * undisturbed_since. */
int64_t operators_revision_due (uint32_t plan,
                                HsTime undisturbed_since,
                                HsTime propagation);

/** The widest limits that some entry may rightly apply now. */
OperatorLimits operators_loosest_limits (const char *customer,
                                         HsTime propagation);

#endif
