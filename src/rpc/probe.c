#include "rpc/probe.h"

#include "base/log.h"

#define PART "rpc"

static void on_probed (void *arg, HsRpcStatus status, const void *result);

void
hs_probe (HsConn *conn, uint64_t suspected_by)
{
  hsx_probe_args args = { suspected_by };

  hs_conn_call (conn, HSX_PROBE, &args, HS_PROBE_TIMEOUT, on_probed, conn);
}

void
hs_probe_reply (HsConn *conn, HsRpcCallId call)
{
  hsx_probe_reply reply = { TRUE };

  hs_conn_reply (conn, call, HSX_PROBE, &reply);
}

static void
on_probed (void *arg, HsRpcStatus status, const void *result)
{
  HsConn *conn = arg;

  (void) result;
  switch (status)
    {
    case HS_RPC_OK:
    case HS_RPC_UNSENT:
    case HS_RPC_DISCONNECTED:
      return;
    case HS_RPC_TIMEOUT:
    case HS_RPC_REJECTED:
      hs_warn (
          PART,
          "%s did not answer a probe; closing the connection to dial again",
          hs_conn_peer (conn)->address);
      hs_conn_close (conn);
      return;
    }
}
