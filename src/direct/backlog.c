#include "direct/backlog.h"

#include <glib.h>

/** An agent stays asked until those asked exceed those needed by this. Without
 *  the margin a busy entry sends 4.4 orders a job instead of 3.9. */
#define ASKED_PERCENT_MAX 133

uint32_t
hs_backlog_agents (uint32_t tasks)
{
  return tasks == 0 ? 0 : MAX (tasks, HS_BACKLOG_AGENTS_MIN);
}

bool
hs_backlog_should_report (bool asked, uint32_t n_asked, uint32_t tasks)
{
  uint64_t n = hs_backlog_agents (tasks);

  return asked ? (uint64_t) n_asked * 100 <= n * ASKED_PERCENT_MAX
               : n_asked < n;
}
