#include "direct/dialer.h"

#include <string.h>

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

typedef struct
{
  char text[HSX_ADDRESS_MAX + 1];
  bool seed;
  bool up;
  HsConn *conn; /* NULL: not dialled. */
  HsTime due;   /* To dial, or to give the dial up. */
  HsTime since; /* Not connected since. */
} Address;

struct HsDialer
{
  HsRpc *rpc;
  char *self;
  Address addresses[ADDRESSES_MAX];
  uint32_t n;
};

static HsTime act (HsDialer *dialer, Address *address, HsTime now);

HsDialer *
hs_dialer_new (TALLOC_CTX *ctx, HsRpc *rpc, const char *self)
{
  HsDialer *dialer = talloc_zero (ctx, HsDialer);

  dialer->rpc = rpc;
  dialer->self = self != NULL ? talloc_strdup (dialer, self) : NULL;
  return dialer;
}

void
hs_dialer_add (HsDialer *dialer, const char *text, bool seed, HsTime now)
{
  Address *address;
  uint32_t i;

  if (dialer->self != NULL && strcmp (dialer->self, text) == 0)
    return;
  for (i = 0; i < dialer->n; i++)
    if (strcmp (dialer->addresses[i].text, text) == 0)
      {
        dialer->addresses[i].seed |= seed;
        return;
      }
  if (dialer->n == ADDRESSES_MAX)
    return;
  address = &dialer->addresses[dialer->n++];
  *address = (Address){ .seed = seed, .due = now, .since = now };
  g_strlcpy (address->text, text, sizeof address->text);
}

void
hs_dialer_up (HsDialer *dialer, HsConn *conn)
{
  uint32_t i;

  for (i = 0; i < dialer->n; i++)
    if (dialer->addresses[i].conn == conn)
      dialer->addresses[i].up = true;
}

void
hs_dialer_alias (HsDialer *dialer, HsConn *conn, HsTime now)
{
  uint32_t i;

  for (i = 0; i < dialer->n; i++)
    if (dialer->addresses[i].conn == conn)
      {
        dialer->addresses[i].up = false;
        dialer->addresses[i].conn = NULL;
        dialer->addresses[i].since = now;
        dialer->addresses[i].due = now + RETRY_ALIAS;
      }
  hs_conn_close (conn);
}

bool
hs_dialer_down (HsDialer *dialer, HsConn *conn, HsTime now)
{
  uint32_t i;

  for (i = 0; i < dialer->n; i++)
    {
      Address *address = &dialer->addresses[i];

      if (address->conn != conn)
        continue;
      if (address->up)
        address->since = now;
      address->up = false;
      address->conn = NULL;
      address->due
          = now + (now - address->since < SOON_SPAN ? RETRY_SOON : RETRY_LATER);
      return true;
    }
  return false;
}

HsTime
hs_dialer_tick (HsDialer *dialer, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i = 0;

  while (i < dialer->n)
    {
      Address *address = &dialer->addresses[i];

      if (address->conn == NULL && !address->seed
          && now - address->since > FORGET)
        {
          *address = dialer->addresses[--dialer->n];
          continue;
        }
      due = MIN (due, act (dialer, address, now));
      i++;
    }
  return due;
}

static HsTime
act (HsDialer *dialer, Address *address, HsTime now)
{
  if (address->up)
    return HS_NEVER;
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
