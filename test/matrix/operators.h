/**
 * @file
 * Operators, who edit the allowances through entries, sometimes concurrently.
 */
#ifndef HS_MATRIX_OPERATORS_H
#define HS_MATRIX_OPERATORS_H

#include "world.h"

#define OPERATORS_PLANS 2
#define OPERATORS_BURST 12
#define OPERATORS_STARTS_PER_S 60

/** Limits of a customer. */
typedef struct
{
  uint32_t in_flight;
  uint32_t starts_per_s;
} OperatorLimits;

/** Writes the first plans and allowances to the store. */
void operators_begin (void);

/** Edits a plan's allowance through an entry, with random limits. */
void operators_edit (uint32_t plan, Proc *entry);

/** Lets two operators edit one allowance through two entries at once. */
void operators_edit_concurrently (void);

/** Records the revisions that the store holds; called after each write. */
void operators_record_revisions (void);

/** The name of plan number @p plan. */
const char *operators_plan_name (uint32_t plan);

/** The revision of a plan's allowance that an entry applies; 0: none. */
int64_t operators_revision_at (const Proc *entry, uint32_t plan);

/** The newest accepted revision of a plan's allowance that an entry must apply
 *  by now: @p propagation has passed since it was accepted and since
 *  @p undisturbed_since. */
int64_t operators_revision_due (uint32_t plan,
                                HsTime undisturbed_since,
                                HsTime propagation);

/** The loosest limits that an entry may still apply correctly, as an edit may
 *  take @p propagation to reach it. */
OperatorLimits operators_loosest_limits (const char *customer,
                                         HsTime propagation);

#endif
