#include "direct/backlog.h"

#include <glib.h>

uint32_t
hs_backlog_agents (uint32_t tasks)
{
  return tasks == 0 ? 0 : MAX (tasks, HS_BACKLOG_AGENTS_MIN);
}

bool
hs_backlog_is_stated (bool asked, uint32_t n_asked, uint32_t tasks)
{
  uint32_t n = hs_backlog_agents (tasks);

  return asked ? n_asked <= n : n_asked < n;
}
