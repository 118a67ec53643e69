/**
 * @file
 * The agent role on the users' platform: runs the tasks of direct jobs, which
 * entries send it without an owner in between (see direct/jobs.h), on the
 * target of its host.
 */
#ifndef HS_DIRECT_AGENT_H
#define HS_DIRECT_AGENT_H

/**
 * Runs the agent until SIGTERM or SIGINT has been handled.
 * @param settings_path the settings file; watched for changes
 * @return the exit status of the process: 0, or 1 if the agent could not start
 */
int hs_direct_agent_run (const char *settings_path);

#endif
