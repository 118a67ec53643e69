/**
 * @file
 * The entry process on the users' platform: accepts jobs from callers over HTTP
 * and runs them on targets through the targets' agents.
 */
#ifndef HS_DIRECT_ENTRY_H
#define HS_DIRECT_ENTRY_H

/** Runs the entry until SIGTERM or SIGINT and the drain that follows.
 *  @param settings_path the settings file, which is read again when it changes
 *  @return the exit status of the process */
int hs_direct_entry_run (const char *settings_path);

#endif
