/**
 * @file
 * Output of a run: a file with one JSON object per job, and a summary.
 */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include <stdbool.h>
#include <stdio.h>

#include <json-c/json.h>

#include "client.h"

/** Writes one line for each job; returns false after a write error. */
bool report_jobs (const ClientRun *run, FILE *file);

/**
 * Returns the counts, the response times and their ratio to the ideal. To be
 * freed with json_object_put().
 */
struct json_object *report_summary (const ClientRun *run);

#endif
