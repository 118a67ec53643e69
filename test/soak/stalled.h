/**
 * @file
 * Callers that stop short of the end of their request's body, and others whose
 * body is complete, large and no job.
 */
#ifndef HS_SOAK_STALLED_H
#define HS_SOAK_STALLED_H

/** Opens connections to an entry, sends a large part of a body on one half and
 *  a whole body of many small values on the other half, keeps them open for a
 * time and closes them. Connections that the entry refuses or closes are left
 * at that.
 *  @param address of the entry for callers */
void stalled_callers_run (const char *address);

#endif
