/**
 * @file
 * The entry on the users' platform: takes jobs from callers and runs them on
 * targets.
 */
#ifndef HS_DIRECT_ENTRY_H
#define HS_DIRECT_ENTRY_H

/** Runs until it is told to stop; returns the exit status. */
int hs_direct_entry_run (const char *settings_path);

#endif
