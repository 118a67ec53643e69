#include "proto/procs.h"

#define PROC(name, a, r)                                                       \
  {                                                                            \
    name, (xdrproc_t) xdr_##a, sizeof (a), (xdrproc_t) xdr_##r, sizeof (r)     \
  }
#define ONE_WAY(name, a)                                                       \
  {                                                                            \
    name, (xdrproc_t) xdr_##a, sizeof (a), NULL, 0                             \
  }

static bool_t code_no_args (XDR *xdrs, ...);

static const HsProc PROCS[HS_PROC_COUNT] = {
  [HSX_NULL] = { "null", code_no_args, 0, NULL, 0 },
  [HSX_HELLO] = PROC ("hello", hsx_hello, hsx_hello),
  [HSX_START] = ONE_WAY ("start", hsx_start_args),
  [HSX_RESULT] = ONE_WAY ("result", hsx_result_args),
  [HSX_GRANT] = ONE_WAY ("grant", hsx_grant_args),
  [HSX_ANNOUNCE] = PROC ("announce", hsx_announce_args, hsx_announce_reply),
  [HSX_MEMBERS] = PROC ("members", hsx_members_args, hsx_members_reply),
  [HSX_RECOVER] = PROC ("recover", hsx_recover_args, hsx_recover_reply),
  [HSX_SETTLE] = PROC ("settle", hsx_settle_args, hsx_settle_reply),
  [HSX_BORROW] = PROC ("borrow", hsx_borrow_args, hsx_borrow_reply),
  [HSX_FORWARD] = PROC ("forward", hsx_forward_args, hsx_answer),
  [HSX_HANDOVER] = PROC ("handover", hsx_handover_args, hsx_handover_reply),
  [HSX_PROMISE] = PROC ("promise", hsx_promise_args, hsx_promise_reply),
  [HSX_SUSPECT] = ONE_WAY ("suspect", hsx_suspect_args),
  [HSX_PROBE] = PROC ("probe", hsx_probe_args, hsx_probe_reply),
  [HSX_ORDERS] = ONE_WAY ("orders", hsx_orders_args),
  [HSX_REPORT] = ONE_WAY ("report", hsx_report_args),
  [HSX_ENTRIES] = ONE_WAY ("entries", hsx_entries_args),
  [HSX_CONFIGURATION] = ONE_WAY ("configuration", hsx_configuration_args),
  [HSX_CRASH] = ONE_WAY ("crash", hsx_crash_args),
  [HSX_CANCEL_JOB]
  = PROC ("cancel_job", hsx_cancel_job_args, hsx_cancel_job_reply),
  [HSX_JOB_CANCELLED] = ONE_WAY ("job_cancelled", hsx_job_cancelled_args),
  [HSX_EVACUATIONS] = ONE_WAY ("evacuations", hsx_evacuations_args),
};

const HsProc *
hs_proc (uint32_t number)
{
  if (number >= HS_PROC_COUNT || PROCS[number].args == NULL)
    return NULL;
  return &PROCS[number];
}

/* Codec of the empty argument of HSX_NULL. */
static bool_t
code_no_args (XDR *xdrs, ...)
{
  (void) xdrs;
  return TRUE;
}
