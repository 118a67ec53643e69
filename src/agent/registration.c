#include "agent/registration.h"

#include <string.h>

#include <glib.h>

#include "base/log.h"

#define LOG_PART "agent"
#define ANNOUNCE_TIMEOUT (2 * HS_SEC)
/** Delay after all entries have been tried; doubles up to the maximum. */
#define RETRY_DELAY_MIN (100 * HS_MSEC)
#define RETRY_DELAY_MAX (5 * HS_SEC)

struct HsRegistration
{
  HsRpc *rpc;
  HsConnectedEntries *connected_entries;
  char **candidates; /* Addresses of entries: first the n_configured ones of
                        the settings, then those of replies to ANNOUNCE. */
  uint32_t n_candidates;
  uint32_t n_configured;
  uint32_t next_candidate;
  uint32_t n_failed; /* Failed attempts since the last success. */
  HsTime retry_at;
  HsTime retry_delay;
  HsConn *conn; /* Being dialled, or to the registrar; or NULL. */
  bool is_connected;
  bool in_flight;         /* An announcement awaits its reply. */
  uint32_t revision;      /* Of the member record; rises with each change. */
  uint32_t sent_revision; /* Of the last announcement. */
  uint32_t accepted_revision; /* By the current registrar; 0: none. */
  HsTime accepted_at;
  uint64_t registrar; /* Incarnation of the last registrar; 0: none yet. */
  HsRegistrationFillMember fill_member;
  void *arg;
  HsAgentStats *stats;
};

static void add_candidate (HsRegistration *registration, const char *address);
static void announce (HsRegistration *registration);
static void on_announced (void *arg, HsRpcStatus status, const void *result);
static void update_candidates (HsRegistration *registration,
                               const hsx_announce_reply *reply);
static void drop_registrar (HsRegistration *registration);

HsRegistration *
hs_registration_new (TALLOC_CTX *ctx,
                     HsRpc *rpc,
                     HsConnectedEntries *connected_entries,
                     char *const *entries,
                     HsRegistrationFillMember fill_member,
                     void *arg,
                     HsAgentStats *stats)
{
  HsRegistration *registration = talloc_zero (ctx, HsRegistration);

  registration->rpc = rpc;
  registration->connected_entries = connected_entries;
  registration->retry_delay = RETRY_DELAY_MIN;
  registration->revision = 1;
  registration->fill_member = fill_member;
  registration->arg = arg;
  registration->stats = stats;
  for (; *entries != NULL; entries++)
    add_candidate (registration, *entries);
  registration->n_configured = registration->n_candidates;
  return registration;
}

void
hs_registration_update (HsRegistration *registration)
{
  registration->revision++;
  if (registration->is_connected && !registration->in_flight)
    announce (registration);
}

void
hs_registration_tick (HsRegistration *registration, HsTime now)
{
  const char *address;

  if (registration->conn != NULL || registration->n_candidates == 0)
    return;
  if (registration->n_failed >= registration->n_candidates)
    {
      registration->n_failed = 0;
      registration->retry_at = now + registration->retry_delay;
      registration->retry_delay
          = MIN (registration->retry_delay * 2, RETRY_DELAY_MAX);
    }
  if (now < registration->retry_at)
    return;
  address = registration->candidates[registration->next_candidate];
  registration->next_candidate
      = (registration->next_candidate + 1) % registration->n_candidates;
  registration->conn = hs_connected_entries_find_conn (
      registration->connected_entries, address);
  if (registration->conn != NULL)
    hs_registration_conn_up (registration, registration->conn);
  else
    registration->conn = hs_rpc_dial (registration->rpc, address);
}

void
hs_registration_conn_up (HsRegistration *registration, HsConn *conn)
{
  if (conn != registration->conn)
    return;
  registration->is_connected = true;
  /* The record names the registrar, so another one needs a new revision. */
  if (registration->registrar != 0
      && registration->registrar != hs_conn_peer (conn)->incarnation)
    registration->revision++;
  registration->registrar = hs_conn_peer (conn)->incarnation;
  announce (registration);
}

void
hs_registration_conn_down (HsRegistration *registration,
                           HsConn *conn,
                           HsTime now)
{
  if (conn != registration->conn)
    return;
  if (registration->accepted_revision > 0)
    hs_warn (
        LOG_PART,
        "connection to the registrar entry lost; announcing to the next entry");
  drop_registrar (registration);
  hs_registration_tick (registration, now);
}

HsTime
hs_registration_accepted_at (const HsRegistration *registration)
{
  if (!registration->is_connected
      || registration->accepted_revision != registration->revision)
    return HS_NEVER;
  return registration->accepted_at;
}

static void
add_candidate (HsRegistration *registration, const char *address)
{
  uint32_t i;

  for (i = 0; i < registration->n_candidates; i++)
    if (strcmp (registration->candidates[i], address) == 0)
      return;
  registration->candidates
      = talloc_realloc (registration, registration->candidates, char *,
                        registration->n_candidates + 1);
  registration->candidates[registration->n_candidates++]
      = talloc_strdup (registration, address);
}

static void
announce (HsRegistration *registration)
{
  hsx_announce_args args;

  memset (&args, 0, sizeof args);
  registration->fill_member (registration->arg, &args.self);
  args.self.revision = registration->revision;
  args.self.home = hs_conn_peer (registration->conn)->incarnation;
  registration->sent_revision = registration->revision;
  registration->in_flight = true;
  registration->stats->announce_calls++;
  if (!hs_conn_call (registration->conn, HSX_ANNOUNCE, &args, ANNOUNCE_TIMEOUT,
                     on_announced, registration))
    hs_conn_close (registration->conn);
}

static void
on_announced (void *arg, HsRpcStatus status, const void *result)
{
  HsRegistration *registration = arg;
  const hsx_announce_reply *reply = result;

  registration->in_flight = false;
  switch (status)
    {
    case HS_RPC_OK:
      break;
    case HS_RPC_DISCONNECTED:
    case HS_RPC_UNSENT:
      return; /* hs_registration_conn_down() follows. */
    case HS_RPC_TIMEOUT:
    case HS_RPC_REJECTED:
      if (registration->conn != NULL)
        hs_conn_close (registration->conn);
      return;
    }
  if (!reply->accepted)
    {
      drop_registrar (registration);
      return;
    }
  if (registration->accepted_revision == 0)
    hs_info (LOG_PART, "registered with entry %s",
             hs_conn_peer (registration->conn)->address);
  registration->accepted_revision = registration->sent_revision;
  registration->accepted_at = hs_now ().mono;
  registration->n_failed = 0;
  registration->retry_delay = RETRY_DELAY_MIN;
  update_candidates (registration, reply);
  if (registration->revision != registration->sent_revision)
    announce (registration);
}

/* Keeps the candidates of the settings, and replaces the learned ones by the
   entries that the registrar reports as running. */
static void
update_candidates (HsRegistration *registration,
                   const hsx_announce_reply *reply)
{
  uint32_t i;

  while (registration->n_candidates > registration->n_configured)
    TALLOC_FREE (registration->candidates[--registration->n_candidates]);
  for (i = 0; i < reply->entries.entries_len; i++)
    add_candidate (registration, reply->entries.entries_val[i].address);
  registration->next_candidate %= registration->n_candidates;
}

static void
drop_registrar (HsRegistration *registration)
{
  registration->conn = NULL;
  registration->is_connected = false;
  registration->in_flight = false;
  registration->accepted_revision = 0;
  registration->n_failed++;
}
