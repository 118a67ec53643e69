#include "kv.h"

static bool
compare_one (HsKv *kv, const HsKvCompare *compare)
{
  const HsKvRecord *record = hs_kv_get (kv, compare->key);
  int64_t actual = 0;

  if (record != NULL)
    switch (compare->target)
      {
      case HS_KV_TARGET_VERSION:
        actual = record->version;
        break;
      case HS_KV_TARGET_CREATE:
        actual = record->create_revision;
        break;
      case HS_KV_TARGET_MOD:
        actual = record->mod_revision;
        break;
      }
  switch (compare->result)
    {
    case HS_KV_EQUAL:
      return actual == compare->value;
    case HS_KV_NOT_EQUAL:
      return actual != compare->value;
    case HS_KV_GREATER:
      return actual > compare->value;
    case HS_KV_LESS:
      return actual < compare->value;
    }
  return false;
}

bool
hs_kv_compare_all (HsKv *kv, const HsKvCompare *compares, size_t n_compares)
{
  size_t i;

  for (i = 0; i < n_compares; i++)
    if (!compare_one (kv, &compares[i]))
      return false;
  return true;
}
