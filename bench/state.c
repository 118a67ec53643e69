/* Measures the memory and the processor time that one more record of each
   kind takes in a process, and prints them as JSON. docs/CAPACITY.md uses
   these slopes. */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "agent/start_log.h"
#include "entry/members.h"
#include "lists/lists.h"

#define N_AGENT_RECORDS 20000
#define RESULT_BYTES 100
#define N_MEMBERS 510
#define N_CUSTOMERS 120
#define N_CHANGES 1000

/* Values at the start of a measurement. */
typedef struct
{
  size_t allocated_before;
  HsTime started_at;
} Measurement;

static void measure_agent_records (TALLOC_CTX *ctx);
static void measure_members (TALLOC_CTX *ctx);
static void measure_lists (TALLOC_CTX *ctx);
static void measure_changes (TALLOC_CTX *ctx, const HsLists *lists);
static void apply_record (HsLists *lists,
                          HsListKind kind,
                          const char *name,
                          int64_t revision);
static Measurement start_measurement (void);
static void print_measurement (const char *name,
                               Measurement measurement,
                               uint32_t n,
                               const char *end);
static size_t allocated_bytes (void);

int
main (int argc, char **argv)
{
  TALLOC_CTX *ctx = talloc_new (NULL);

  printf ("{\"commit\":\"%s\",\"records\":{\n", argc > 1 ? argv[1] : "");
  measure_agent_records (ctx);
  measure_members (ctx);
  measure_lists (ctx);
  printf ("}}\n");
  talloc_free (ctx);
  return 0;
}

static void
measure_agent_records (TALLOC_CTX *ctx)
{
  char result[RESULT_BYTES + 1];
  char id[40];
  hsx_task_key key = { .customer = (char *) "nadroga", .id = id };
  HsTaskCompletion completion = { .outcome = HSX_DONE,
                                  .http_status = 200,
                                  .body = result,
                                  .body_len = RESULT_BYTES };
  Measurement measurement = start_measurement ();
  HsStartLog *start_log = hs_start_log_new (ctx, 600 * HS_SEC, UINT32_MAX);
  uint32_t i;

  memset (result, 'r', RESULT_BYTES);
  result[RESULT_BYTES] = '\0';
  for (i = 0; i < N_AGENT_RECORDS; i++)
    {
      HsRecordHandle record;

      g_snprintf (id, sizeof id, "01a3185c-542f-78d8-b5fe-%012x", i);
      record = hs_start_log_add_start (start_log, &key, i);
      hs_start_log_finish (start_log, record, &completion);
    }
  print_measurement ("agent_task_result_100_bytes", measurement,
                     N_AGENT_RECORDS, ",");
  talloc_free (start_log);
}

static void
measure_members (TALLOC_CTX *ctx)
{
  hsx_member member = { .revision = 1,
                        .state = HSX_MEMBER_UP,
                        .address = (char *) "192.0.2.120:7000",
                        .data_centre = (char *) "suva-1",
                        .rack = (char *) "rack-17",
                        .slots = 8 };
  Measurement measurement = start_measurement ();
  HsMembers *members = hs_members_new (ctx);
  uint32_t i;

  for (i = 0; i < N_MEMBERS; i++)
    {
      member.incarnation = i + 1;
      hs_members_merge (members, &member, 0);
    }
  print_measurement ("entry_member", measurement, N_MEMBERS, ",");
}

static void
measure_lists (TALLOC_CTX *ctx)
{
  Measurement measurement = start_measurement ();
  HsLists *lists = hs_lists_new (ctx);
  char name[HS_NAME_MAX + 1];
  uint32_t i;

  for (i = 0; i < N_CUSTOMERS; i++)
    {
      g_snprintf (name, sizeof name, "customer-%u", i);
      apply_record (lists, HS_LIST_PLANS, name, i + 1);
      apply_record (lists, HS_LIST_ALLOWANCES, name, i + 1);
    }
  print_measurement ("entry_customer_with_plan", measurement, N_CUSTOMERS, ",");
  measure_changes (ctx, lists);
}

/* Each change copies the lists, as publishing does. */
static void
measure_changes (TALLOC_CTX *ctx, const HsLists *lists)
{
  HsLists *view = hs_lists_copy (ctx, lists);
  Measurement measurement = start_measurement ();
  uint32_t i;

  for (i = 0; i < N_CHANGES; i++)
    {
      HsLists *next = hs_lists_copy (ctx, view);

      apply_record (next, HS_LIST_ALLOWANCES, "customer-7",
                    N_CUSTOMERS + 1 + i);
      talloc_free (view);
      view = next;
    }
  print_measurement ("entry_edit_of_120_customers", measurement, N_CHANGES, "");
}

static void
apply_record (HsLists *lists,
              HsListKind kind,
              const char *name,
              int64_t revision)
{
  const char *json = kind == HS_LIST_PLANS
                         ? "{\"plan\":\"gold\"}"
                         : "{\"in_flight\":10,\"starts_per_s\":100,"
                           "\"queued\":1000}";
  g_autoptr (GError) error = NULL;

  if (!hs_lists_apply (lists, kind, name, json, revision, &error))
    g_error ("bench-state: %s",
             error != NULL ? error->message : "record older than the list");
}

static Measurement
start_measurement (void)
{
  return (Measurement){ .allocated_before = allocated_bytes (),
                        .started_at = hs_now ().mono };
}

static void
print_measurement (const char *name,
                   Measurement measurement,
                   uint32_t n,
                   const char *end)
{
  double us = (double) (hs_now ().mono - measurement.started_at) / n;
  double bytes
      = ((double) allocated_bytes () - (double) measurement.allocated_before)
        / n;

  printf ("\"%s\":{\"n\":%u,\"bytes\":%.0f,\"us\":%.2f}%s\n", name, n, bytes,
          us, end);
}

static size_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}
