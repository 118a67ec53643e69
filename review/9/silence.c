/**
 * @file
 * The open connections to the store go silent, and the configuration changes
 * right after. It has to be in force once the entries count as in touch again.
 */
#include <string.h>

#include "../../test/soak/proxy.h"
#include "../common-2/case.h"

#define N_ENTRIES 3

/** The site's bounds, in milliseconds. */
#define CONTACT_MS 3000
#define CONFIG_APPLY_MS 2000

/** By then the proxy's thread has made its connections silent. */
#define SILENCE_SETTLE_MS 40

/** Time from the change that ends all waiting watches to the silence. */
#define WATCHES_BEGIN_MS 20

#define CHECK_INTERVAL_MS 50
#define CHECK_SPAN_MS 2000

#define ROUTE "/more/"

/* Asks each entry for the new route until all have it. Returns how many answers
   said that there is no such route, to requests sent later than `from`.
   @all_have_it: whether all had it in the end */
static unsigned int
count_stale_answers (Case *c, HsTime from, bool *all_have_it)
{
  unsigned int n_stale = 0;
  unsigned int n_current = 0;
  HsTime end = from + CHECK_SPAN_MS * HS_MSEC;
  unsigned int i;

  while (n_current < N_ENTRIES && case_now () < end)
    {
      n_current = 0;
      for (i = 0; i < N_ENTRIES; i++)
        {
          HsTime sent_at = case_now ();
          ClusterReply reply = cluster_call (
              "GET", c->cluster.addresses[CLUSTER_ENTRY][i], ROUTE, NULL, 1000);

          n_current += reply.status == 200;
          if (reply.status == 200 || sent_at <= from)
            continue;
          n_stale += reply.status == 404;
          case_note (c,
                     "GET %s at entry %u, sent %.3f s after the bound: %ld %s",
                     ROUTE, i, (double) (sent_at - from) / HS_SEC, reply.status,
                     reply.body);
        }
      cluster_sleep_ms (CHECK_INTERVAL_MS);
    }
  case_note (c, "%u of %u entries have the route, %.3f s after the bound",
             n_current, N_ENTRIES, (double) (case_now () - from) / HS_SEC);
  *all_have_it = n_current == N_ENTRIES;
  return n_stale;
}

int
main (int argc, char **argv)
{
  unsigned int store_proxy;
  HsTime in_touch_at;
  HsTime bound_at;
  unsigned int n;
  bool all_have_it;
  Case c;

  if (argc != 4)
    return CASE_NOT_RUN;
  case_prepare (&c, argv, N_ENTRIES, 1);
  proxy_init ();
  store_proxy = proxy_add (c.cluster.addresses[CLUSTER_STORE][0],
                           c.cluster.store_dial_address);
  case_start (&c);
  cluster_configure (&c.cluster, 3, NULL);
  case_note (&c, "version 3 is acknowledged; the watches begin anew");
  cluster_sleep_ms (WATCHES_BEGIN_MS);
  if (c.trouble)
    {
      proxy_set (store_proxy, PROXY_SILENCE, 0);
      cluster_sleep_ms (SILENCE_SETTLE_MS);
      case_note (&c, "open connections to the store are silent; new ones work");
    }
  in_touch_at = case_now () + CONTACT_MS * HS_MSEC;
  cluster_configure (&c.cluster, 5, ROUTE);
  bound_at = MAX (in_touch_at, case_now () + CONFIG_APPLY_MS * HS_MSEC);
  case_note (&c, "version 5 with the route %s is acknowledged", ROUTE);
  if (bound_at > case_now ())
    cluster_sleep_ms ((int) ((bound_at - case_now ()) / HS_MSEC) + 1);
  n = count_stale_answers (&c, bound_at, &all_have_it);
  if (n == 0 && !all_have_it)
    return case_end (&c, CASE_NOT_RUN, "an entry doesn't answer");
  return case_end (&c, n > 0 ? CASE_BROKEN : CASE_HELD,
                   n > 0 ? "a route that is in force was answered by 404"
                         : "the new route is in force in time");
}
