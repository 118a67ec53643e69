#include "direct/dialer.h"

#include <string.h>

#include "direct/rendezvous.h"

/** Addresses at once; more entries than the largest deployment has. */
#define ADDRESSES_MAX 256

/** A connection that isn't up by then is dialled anew. A lost opening packet
 *  is sent again only after a second; the way there and back takes under
 *  30 ms between regions. */
#define DIAL_TIMEOUT (150 * HS_MSEC)

/** Between attempts: soon while a process may be starting, seldom later. */
#define RETRY_SOON (30 * HS_MSEC)
#define RETRY_LATER (300 * HS_MSEC)
#define SOON_SPAN (8 * HS_SEC)

/** Until an address that led to a process which was connected already is
 *  tried again: it may lead to another one by then. */
#define RETRY_ALIAS (1 * HS_SEC)

/** An address that isn't a seed is forgotten when nobody has answered for so
 *  long: the host was replaced. */
#define FORGET (20 * HS_SEC)

/** One that was never dialled is forgotten when nobody has told of it for so
 *  long; several times HS_ENTRIES_REREAD. */
#define FORGET_UNTRIED (15 * 60 * HS_SEC)

typedef struct
{
  char text[HSX_ADDRESS_MAX + 1];
  bool seed;
  bool up;
  bool failing; /* It was dialled, or connected, and isn't any more. */
  HsConn *conn; /* NULL: not dialled. */
  HsTime due;   /* To dial, or to give the dial up. */
  HsTime since; /* Not connected since. */
  HsTime told_at;
} Address;

struct HsDialer
{
  HsRpc *rpc;
  char *self;
  Address addresses[ADDRESSES_MAX];
  HsCandidate choices[ADDRESSES_MAX]; /* By address. */
  uint32_t n;
  char *chooser;
  uint32_t limit;
  bool changed; /* The choice is to be made anew. */
};

static Address *find (HsDialer *dialer, const char *text);
static Address *find_conn (HsDialer *dialer, const HsConn *conn);
static void choose (HsDialer *dialer);
static bool is_forgotten (const Address *address, bool chosen, HsTime now);
static HsTime act (HsDialer *dialer, Address *address, HsTime now);

HsDialer *
hs_dialer_new (TALLOC_CTX *ctx, HsRpc *rpc, const char *self)
{
  HsDialer *dialer = talloc_zero (ctx, HsDialer);

  dialer->rpc = rpc;
  dialer->self = self != NULL ? talloc_strdup (dialer, self) : NULL;
  dialer->chooser = talloc_strdup (dialer, "");
  dialer->limit = ADDRESSES_MAX;
  return dialer;
}

void
hs_dialer_limit (HsDialer *dialer, const char *chooser, uint32_t limit)
{
  dialer->chooser = talloc_strdup (dialer, chooser);
  dialer->limit = limit;
}

bool
hs_dialer_wants (HsDialer *dialer, const HsConn *conn)
{
  const Address *address = find_conn (dialer, conn);

  choose (dialer);
  return address == NULL || dialer->choices[address - dialer->addresses].chosen;
}

void
hs_dialer_release (HsDialer *dialer, const HsConn *conn, HsTime now)
{
  Address *address = find_conn (dialer, conn);

  if (address == NULL)
    return;
  address->up = false;
  address->conn = NULL;
  address->due = now;
  address->told_at = now;
}

void
hs_dialer_add (HsDialer *dialer, const char *text, bool seed, HsTime now)
{
  Address *address = find (dialer, text);

  if (dialer->self != NULL && strcmp (dialer->self, text) == 0)
    return;
  if (address != NULL)
    {
      address->seed |= seed;
      address->told_at = now;
      return;
    }
  if (dialer->n == ADDRESSES_MAX)
    return;
  address = &dialer->addresses[dialer->n++];
  *address
      = (Address){ .seed = seed, .due = now, .since = now, .told_at = now };
  g_strlcpy (address->text, text, sizeof address->text);
  dialer->changed = true;
}

void
hs_dialer_up (HsDialer *dialer, HsConn *conn)
{
  Address *address = find_conn (dialer, conn);

  if (address == NULL)
    return;
  address->up = true;
  address->failing = false;
  dialer->changed = true;
}

void
hs_dialer_alias (HsDialer *dialer, HsConn *conn, HsTime now)
{
  Address *address = find_conn (dialer, conn);

  if (address != NULL)
    {
      address->up = false;
      address->failing = true;
      address->conn = NULL;
      address->since = now;
      address->due = now + RETRY_ALIAS;
      dialer->changed = true;
    }
  hs_conn_close (conn);
}

bool
hs_dialer_down (HsDialer *dialer, HsConn *conn, HsTime now)
{
  Address *address = find_conn (dialer, conn);

  if (address == NULL)
    return false;
  if (address->up)
    address->since = now;
  address->up = false;
  address->failing = true;
  address->conn = NULL;
  address->due
      = now + (now - address->since < SOON_SPAN ? RETRY_SOON : RETRY_LATER);
  dialer->changed = true;
  return true;
}

HsTime
hs_dialer_tick (HsDialer *dialer, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i = 0;

  choose (dialer);
  while (i < dialer->n)
    if (is_forgotten (&dialer->addresses[i], dialer->choices[i].chosen, now))
      {
        dialer->addresses[i] = dialer->addresses[--dialer->n];
        dialer->choices[i] = dialer->choices[dialer->n];
        dialer->changed = true;
      }
    else
      i++;
  choose (dialer);
  for (i = 0; i < dialer->n; i++)
    due = MIN (due, act (dialer, &dialer->addresses[i], now));
  return due;
}

static Address *
find (HsDialer *dialer, const char *text)
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
choose (HsDialer *dialer)
{
  uint32_t i;

  if (!dialer->changed)
    return;
  dialer->changed = false;
  for (i = 0; i < dialer->n; i++)
    dialer->choices[i] = (HsCandidate){
      .rank = hs_rendezvous_rank (dialer->chooser, dialer->addresses[i].text),
      .unresponsive = dialer->addresses[i].failing,
    };
  hs_rendezvous_choose (dialer->choices, dialer->n, dialer->limit);
}

static bool
is_forgotten (const Address *address, bool chosen, HsTime now)
{
  if (address->conn != NULL || address->seed)
    return false;
  if (!chosen && !address->failing)
    return now - address->told_at > FORGET_UNTRIED;
  return now - address->since > FORGET;
}

static HsTime
act (HsDialer *dialer, Address *address, HsTime now)
{
  if (address->up)
    return HS_NEVER;
  if (address->conn == NULL
      && !dialer->choices[address - dialer->addresses].chosen)
    {
      /* Silence counts from when it is wanted on. */
      if (!address->failing)
        address->since = now;
      return HS_NEVER;
    }
  if (now < address->due)
    return address->due;
  if (address->conn != NULL)
    {
      /* Its end is told to hs_dialer_down(). */
      hs_conn_close (address->conn);
      return address->due;
    }
  address->conn = hs_rpc_dial (dialer->rpc, address->text);
  address->due = now + DIAL_TIMEOUT;
  return address->due;
}
