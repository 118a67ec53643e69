#include "agent/gate.h"

struct HsGate
{
  const HsMemory *memory;
  const HsSlots *slots;
  uint64_t epochs[HSX_PARTS_MAX];
};

static bool permit_lasts (const hsx_start *start, HsTime now);
static hsx_refusal check_known (const HsGate *gate, const hsx_task_key *key);

HsGate *
hs_gate_new (TALLOC_CTX *ctx, const HsMemory *memory, const HsSlots *slots)
{
  HsGate *gate = talloc_zero (ctx, HsGate);

  gate->memory = memory;
  gate->slots = slots;
  return gate;
}

bool
hs_gate_raise (HsGate *gate, uint32_t part, uint64_t epoch)
{
  if (part >= HSX_PARTS_MAX || epoch < gate->epochs[part])
    return false;
  gate->epochs[part] = epoch;
  return true;
}

uint64_t
hs_gate_epoch (const HsGate *gate, uint32_t part)
{
  return part < HSX_PARTS_MAX ? gate->epochs[part] : 0;
}

hsx_refusal
hs_gate_check (HsGate *gate,
               const HsGateTarget *target,
               const hsx_start *start,
               HsTime now)
{
  hsx_refusal known;

  if (!hs_gate_raise (gate, start->key.part, start->epoch))
    return HSX_REFUSAL_EPOCH;
  if (!permit_lasts (start, now))
    return HSX_REFUSAL_PERMIT;
  if (!target->leaving && !hs_slots_valid (gate->slots, &start->credit))
    return HSX_REFUSAL_CREDIT;
  known = check_known (gate, &start->key);
  if (known != HSX_REFUSAL_NONE)
    return known;
  if (target->leaving)
    return HSX_REFUSAL_LEAVING;
  if (start->needs.memory_mb > target->capacity.memory_mb
      || start->needs.accelerators > target->capacity.accelerators)
    return HSX_REFUSAL_NEEDS;
  return HSX_REFUSAL_NONE;
}

/* Written as a difference, so that no sum of a peer's numbers overflows. */
static bool
permit_lasts (const hsx_start *start, HsTime now)
{
  if (start->credit.stamp_us < 0 || start->credit.stamp_us > now)
    return false;
  return now - start->credit.stamp_us < start->permit_us;
}

static hsx_refusal
check_known (const HsGate *gate, const hsx_task_key *key)
{
  HsTaskHandle handle = hs_memory_find (gate->memory, key);
  hsx_result record;

  if (handle == 0)
    return HSX_REFUSAL_NONE;
  hs_memory_result (gate->memory, handle, &record);
  return record.refusal == HSX_REFUSAL_FENCED ? HSX_REFUSAL_FENCED
                                              : HSX_REFUSAL_DUPLICATE;
}
