/**
 * @file
 * The agent on the users' platform: runs direct jobs on the target of its
 * host.
 */
#ifndef HS_DIRECT_AGENT_H
#define HS_DIRECT_AGENT_H

/** Runs until it is told to stop; returns the exit status. */
int hs_direct_agent_run (const char *settings_path);

#endif
