/**
 * @file
 * What a run gave: a file with one JSON object for each job, and a summary.
 */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include <stdbool.h>
#include <stdio.h>

#include <json-c/json.h>

#include "client.h"

/** Writes every job as one line. False after an error of writing. */
bool report_jobs (const ClientRun *run, FILE *file);

/** Latencies, response over ideal, outcomes. json_object_put() it. */
struct json_object *report_summary (const ClientRun *run);

#endif
