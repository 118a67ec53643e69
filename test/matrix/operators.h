/**
 * @file
 * Operators: edit the allowances through entries, sometimes at once.
 */
#ifndef HS_MATRIX_OPERATORS_H
#define HS_MATRIX_OPERATORS_H

#include "world.h"

#define OPERATORS_PLANS 2
#define OPERATORS_BURST 12
#define OPERATORS_RATE 60

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
void operators_race (void);

/** Notes what the store holds; after each write. */
void operators_observe (void);

const char *operators_plan (uint32_t plan);

/** The revision that an entry applies. */
int64_t operators_revision_at (const Proc *entry, uint32_t plan);

/** The newest revision accepted at least @p span ago, and since @p calm. */
int64_t operators_revision_due (uint32_t plan, HsTime calm, HsTime span);

/** The widest limits that some entry may rightly apply now. */
OperatorLimits operators_limits (const char *customer, HsTime span);

#endif
