#include "agent/admission.h"

struct HsAdmission
{
  const HsStartLog *start_log;
  const HsSlots *slots;
  uint64_t epochs[HSX_PARTS_MAX];
};

static bool permit_is_valid (const hsx_start *start, HsTime now);
static hsx_refusal check_start_log (const HsAdmission *admission,
                                    const hsx_task_key *key);

HsAdmission *
hs_admission_new (TALLOC_CTX *ctx,
                  const HsStartLog *start_log,
                  const HsSlots *slots)
{
  HsAdmission *admission = talloc_zero (ctx, HsAdmission);

  admission->start_log = start_log;
  admission->slots = slots;
  return admission;
}

bool
hs_admission_raise_epoch (HsAdmission *admission, uint32_t part, uint64_t epoch)
{
  if (part >= HSX_PARTS_MAX || epoch < admission->epochs[part])
    return false;
  admission->epochs[part] = epoch;
  return true;
}

uint64_t
hs_admission_epoch (const HsAdmission *admission, uint32_t part)
{
  return part < HSX_PARTS_MAX ? admission->epochs[part] : 0;
}

hsx_refusal
hs_admission_check (HsAdmission *admission,
                    const HsAdmissionTarget *target,
                    const hsx_start *start,
                    HsTime now)
{
  hsx_refusal refusal;

  if (!hs_admission_raise_epoch (admission, start->key.part, start->epoch))
    return HSX_REFUSAL_EPOCH;
  if (!permit_is_valid (start, now))
    return HSX_REFUSAL_PERMIT;
  if (!target->unavailable
      && !hs_slots_credit_is_valid (admission->slots, &start->credit))
    return HSX_REFUSAL_CREDIT;
  refusal = check_start_log (admission, &start->key);
  if (refusal != HSX_REFUSAL_NONE)
    return refusal;
  if (target->unavailable)
    return HSX_REFUSAL_LEAVING;
  if (start->needs.memory_mb > target->capacity.memory_mb
      || start->needs.accelerators > target->capacity.accelerators)
    return HSX_REFUSAL_NEEDS;
  return HSX_REFUSAL_NONE;
}

/* Subtracts instead of adding, as a sum of numbers from the entry could
   overflow. */
static bool
permit_is_valid (const hsx_start *start, HsTime now)
{
  if (start->credit.stamp_us < 0 || start->credit.stamp_us > now)
    return false;
  return now - start->credit.stamp_us < start->permit_us;
}

static hsx_refusal
check_start_log (const HsAdmission *admission, const hsx_task_key *key)
{
  HsRecordHandle handle = hs_start_log_find (admission->start_log, key);
  hsx_result record;

  if (handle == 0)
    return HSX_REFUSAL_NONE;
  hs_start_log_get_result (admission->start_log, handle, &record);
  return record.refusal == HSX_REFUSAL_FENCED ? HSX_REFUSAL_FENCED
                                              : HSX_REFUSAL_DUPLICATE;
}
