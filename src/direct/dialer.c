#include "direct/dialer.h"

#include <string.h>

#include "base/address.h"
#include "policy/rendezvous.h"

/** Maximum number of addresses; the largest deployment has fewer entries. */
#define ADDRESSES_MAX 256

/** A connection that isn't established within this time is dialled anew. The
 *  kernel retransmits a lost SYN only after a second, and a round trip between
 *  regions takes less than 30 ms. */
#define DIAL_TIMEOUT (150 * HS_MSEC)

/** Intervals between dial attempts. The short one applies for SHORT_RETRY_SPAN
 *  after an address was last connected or was added, as a process may be
 *  starting there. */
#define RETRY_INTERVAL_SHORT (30 * HS_MSEC)
#define RETRY_INTERVAL_LONG (300 * HS_MSEC)
#define SHORT_RETRY_SPAN (8 * HS_SEC)

/** Time until an address that led to an already connected process is dialled
 *  again, as it may lead to another process by then. */
#define DUPLICATE_RETRY_DELAY (1 * HS_SEC)

/** An address that isn't a seed is forgotten when it could not be connected for
 *  this long, as the host was replaced. */
#define UNREACHABLE_RETENTION (20 * HS_SEC)

/** An address that was never dialled is forgotten when it has not been reported
 *  for this long, which is several times HS_ENTRIES_REFRESH_INTERVAL. */
#define UNTRIED_RETENTION (15 * 60 * HS_SEC)

typedef struct
{
  char text[HSX_ADDRESS_MAX + 1];
  bool seed;
  bool connected;
  bool unresponsive; /* The last dial failed or the last connection ended. */
  HsConn *conn;      /* NULL if not dialled. */
  HsTime due;        /* When to dial, or to give up the dial. */
  /* When the last connection ended; if there was none, when the address was
     added or was chosen. */
  HsTime disconnected_since;
  HsTime last_reported_at; /* By an entry, the store or the settings. */
} Address;

struct HsDialer
{
  HsRpc *rpc;
  char *own_address;
  Address addresses[ADDRESSES_MAX];
  HsCandidate choices[ADDRESSES_MAX]; /* By index of the address. */
  uint32_t n;
  char *own_name;       /* Decides which addresses are chosen. */
  uint32_t limit;       /* Number of addresses to choose. */
  bool choice_outdated; /* `choices` must be computed anew. */
};

static Address *find_address (HsDialer *dialer, const char *text);
static Address *find_conn (HsDialer *dialer, const HsConn *conn);
static void update_choice (HsDialer *dialer);
static bool is_expired (const Address *address, bool chosen, HsTime now);
static HsTime update_address (HsDialer *dialer, Address *address, HsTime now);

HsDialer *
hs_dialer_new (TALLOC_CTX *ctx, HsRpc *rpc, const char *own_address)
{
  HsDialer *dialer = talloc_zero (ctx, HsDialer);

  dialer->rpc = rpc;
  dialer->own_address
      = own_address != NULL ? talloc_strdup (dialer, own_address) : NULL;
  dialer->own_name = talloc_strdup (dialer, "");
  dialer->limit = ADDRESSES_MAX;
  return dialer;
}

void
hs_dialer_set_limit (HsDialer *dialer, const char *own_name, uint32_t limit)
{
  dialer->own_name = talloc_strdup (dialer, own_name);
  dialer->limit = limit;
}

bool
hs_dialer_is_chosen (HsDialer *dialer, const HsConn *conn)
{
  const Address *address = find_conn (dialer, conn);

  update_choice (dialer);
  return address == NULL || dialer->choices[address - dialer->addresses].chosen;
}

void
hs_dialer_release (HsDialer *dialer, const HsConn *conn, HsTime now)
{
  Address *address = find_conn (dialer, conn);

  if (address == NULL)
    return;
  address->connected = false;
  address->conn = NULL;
  address->due = now;
  address->last_reported_at = now;
}

bool
hs_dialer_add (HsDialer *dialer, const char *text, bool seed, HsTime now)
{
  Address *address;
  struct sockaddr_storage parsed;
  socklen_t len;

  if (strlen (text) > HSX_ADDRESS_MAX || !hs_address_parse (text, &parsed, &len)
      || hs_address_port (&parsed) == 0)
    return false;
  if (dialer->own_address != NULL && strcmp (dialer->own_address, text) == 0)
    return true;
  address = find_address (dialer, text);
  if (address != NULL)
    {
      address->seed |= seed;
      address->last_reported_at = now;
      return true;
    }
  if (dialer->n == ADDRESSES_MAX)
    return true;
  address = &dialer->addresses[dialer->n++];
  *address = (Address){
    .seed = seed, .due = now, .disconnected_since = now, .last_reported_at = now
  };
  g_strlcpy (address->text, text, sizeof address->text);
  dialer->choice_outdated = true;
  return true;
}

void
hs_dialer_connected (HsDialer *dialer, HsConn *conn)
{
  Address *address = find_conn (dialer, conn);

  if (address == NULL)
    return;
  address->connected = true;
  address->unresponsive = false;
  dialer->choice_outdated = true;
}

void
hs_dialer_close_duplicate (HsDialer *dialer, HsConn *conn, HsTime now)
{
  Address *address = find_conn (dialer, conn);

  if (address != NULL)
    {
      address->connected = false;
      address->unresponsive = true;
      address->conn = NULL;
      address->disconnected_since = now;
      address->due = now + DUPLICATE_RETRY_DELAY;
      dialer->choice_outdated = true;
    }
  hs_conn_close (conn);
}

bool
hs_dialer_disconnected (HsDialer *dialer, HsConn *conn, HsTime now)
{
  Address *address = find_conn (dialer, conn);

  if (address == NULL)
    return false;
  if (address->connected)
    address->disconnected_since = now;
  address->connected = false;
  address->unresponsive = true;
  address->conn = NULL;
  address->due = now
                 + (now - address->disconnected_since < SHORT_RETRY_SPAN
                        ? RETRY_INTERVAL_SHORT
                        : RETRY_INTERVAL_LONG);
  dialer->choice_outdated = true;
  return true;
}

HsTime
hs_dialer_tick (HsDialer *dialer, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i = 0;

  update_choice (dialer);
  while (i < dialer->n)
    if (is_expired (&dialer->addresses[i], dialer->choices[i].chosen, now))
      {
        dialer->addresses[i] = dialer->addresses[--dialer->n];
        dialer->choices[i] = dialer->choices[dialer->n];
        dialer->choice_outdated = true;
      }
    else
      i++;
  update_choice (dialer);
  for (i = 0; i < dialer->n; i++)
    due = MIN (due, update_address (dialer, &dialer->addresses[i], now));
  return due;
}

static Address *
find_address (HsDialer *dialer, const char *text)
{
  uint32_t i;

  for (i = 0; i < dialer->n; i++)
    if (strcmp (dialer->addresses[i].text, text) == 0)
      return &dialer->addresses[i];
  return NULL;
}

static Address *
find_conn (HsDialer *dialer, const HsConn *conn)
{
  uint32_t i;

  for (i = 0; i < dialer->n; i++)
    if (dialer->addresses[i].conn == conn)
      return &dialer->addresses[i];
  return NULL;
}

static void
update_choice (HsDialer *dialer)
{
  uint32_t i;

  if (!dialer->choice_outdated)
    return;
  dialer->choice_outdated = false;
  for (i = 0; i < dialer->n; i++)
    dialer->choices[i] = (HsCandidate){
      .hash = hs_rendezvous_hash (dialer->own_name, dialer->addresses[i].text),
      .unresponsive = dialer->addresses[i].unresponsive,
    };
  hs_rendezvous_choose (dialer->choices, dialer->n, dialer->limit);
}

static bool
is_expired (const Address *address, bool chosen, HsTime now)
{
  if (address->conn != NULL || address->seed)
    return false;
  if (!chosen && !address->unresponsive)
    return now - address->last_reported_at > UNTRIED_RETENTION;
  return now - address->disconnected_since > UNREACHABLE_RETENTION;
}

static HsTime
update_address (HsDialer *dialer, Address *address, HsTime now)
{
  if (address->connected)
    return HS_NEVER;
  if (address->conn == NULL
      && !dialer->choices[address - dialer->addresses].chosen)
    {
      /* UNREACHABLE_RETENTION counts from when the address is chosen. */
      if (!address->unresponsive)
        address->disconnected_since = now;
      return HS_NEVER;
    }
  if (now < address->due)
    return address->due;
  if (address->conn != NULL)
    {
      /* Calls hs_dialer_disconnected(), which sets the next due time. */
      hs_conn_close (address->conn);
      return address->due;
    }
  address->conn = hs_rpc_dial (dialer->rpc, address->text);
  address->due = now + DIAL_TIMEOUT;
  return address->due;
}
