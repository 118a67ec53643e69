/**
 * @file
 * Operators' edits: of one record, and of a whole list.
 */
#include <inttypes.h>
#include <string.h>

#include "config/json_check.h"
#include "config/json_fields.h"
#include "entry/admin_private.h"

/** Edits of a whole list that are under way at a time. */
#define WINDOW 8

/** The body of POST /v1/LIST:apply. */
typedef struct
{
  struct json_object *records;
  bool dry_run;
} ApplyBody;

/** A whole list being applied; talloc child of its request. */
typedef struct
{
  HsAdminRequest *request;
  bool dry_run;
  int64_t revision; /**< Of the lists that the changes were found in. */
  HsListChange *changes;
  size_t n;
  size_t started;
  HsEditOutcome *outcomes;
} Apply;

/** One of its edits. */
typedef struct
{
  Apply *apply;
  size_t index;
} ApplyEdit;

static const HsField APPLY_FIELDS[] = {
  { "records", HS_FIELD_OBJECT, true, 0, 0, offsetof (ApplyBody, records), NULL,
    NULL },
  { "dry_run", HS_FIELD_BOOL, false, 0, 0, offsetof (ApplyBody, dry_run), NULL,
    NULL },
};

static const struct
{
  const char *word;
  HsErrorKind kind;
  const char *message;
} OUTCOMES[] = {
  [HS_EDIT_APPLIED] = { "applied", HS_ERROR_INTERNAL, "" },
  [HS_EDIT_CONFLICT]
  = { "conflict", HS_ERROR_CONFLICT,
      "not applied, the record has changed; read it and edit again" },
  [HS_EDIT_NOT_APPLIED]
  = { "not_applied", HS_ERROR_UNAVAILABLE,
      "not applied, the store can't be reached; send it again later" },
  [HS_EDIT_UNKNOWN] = { "unknown", HS_ERROR_UNKNOWN,
                        "the store's answer was lost; read the record back" },
};

static void on_edit (void *arg, const HsEditResult *result);
static void start_some (Apply *apply);
static void on_apply_edit (void *arg, const HsEditResult *result);
static void finish_apply (Apply *apply);

/** The body as text; "" if there is none. */
static const char *
body_text (HsAdminRequest *request)
{
  if (request->body.data == NULL)
    return "";
  return talloc_strndup (request, request->body.data, request->body.len);
}

/**
 * Spares the store an edit that can't succeed, and refuses one whose record
 * this entry has yet to see: a plan's key is kept from the record held.
 */
static bool
check_revision (HsAdminRequest *request, const HsLists *lists)
{
  int64_t held = hs_list_record_revision (lists, request->kind, request->name);
  const char *present;

  if (held == request->revision)
    return true;
  if (held < request->revision && hs_lists_revision (lists) < request->revision)
    {
      g_set_error (&request->error, HS_ERROR, HS_ERROR_UNAVAILABLE,
                   "not applied, this entry hasn't seen that revision yet; "
                   "send it again later");
      return false;
    }
  present = hs_list_record_json (request, lists, request->kind, request->name);
  hs_admin_answer (request, hs_error_http_status (HS_ERROR_CONFLICT),
                   hs_admin_error_json (request, HS_ERROR_CONFLICT,
                                        OUTCOMES[HS_EDIT_CONFLICT].message,
                                        present != NULL ? present : "null"));
  return false;
}

void
hs_admin_edit (HsAdminRequest *request)
{
  HsAdmin *admin = request->admin;
  const HsLists *lists = hs_lists_get (admin->box);
  const char *json;

  if (request->verb == HS_ADMIN_DELETE)
    {
      if (!check_revision (request, lists))
        return;
      request->pending = 1;
      hs_lists_sync_delete (admin->sync, request->kind, request->name,
                            request->revision, on_edit, request);
      return;
    }
  json = hs_list_normalise (request, lists, request->kind, request->name,
                            body_text (request), &request->error);
  if (json == NULL || !check_revision (request, lists))
    return;
  request->pending = 1;
  hs_lists_sync_put (admin->sync, request->kind, request->name, json,
                     request->revision, on_edit, request);
}

static char *
applied_json (HsAdminRequest *request, int64_t revision)
{
  return talloc_asprintf (
      request, "{\"applied\":true,\"revision\":%" PRId64 "}", revision);
}

/** The record that won, with its revision; "null" if there is none. */
static const char *
present_json (HsAdminRequest *request, const HsEditResult *result)
{
  size_t len = result->present != NULL ? strlen (result->present) : 0;

  if (len < 2 || result->present[len - 1] != '}')
    return "null";
  return talloc_asprintf (request, "%.*s,\"revision\":%" PRId64 "}",
                          (int) (len - 1), result->present, result->revision);
}

static void
on_edit (void *arg, const HsEditResult *result)
{
  HsAdminRequest *request = arg;
  HsErrorKind kind = OUTCOMES[result->outcome].kind;
  const char *present = NULL;

  if (!hs_admin_edit_ended (request))
    return;
  if (result->outcome == HS_EDIT_APPLIED)
    {
      hs_admin_answer (request, MHD_HTTP_OK,
                       applied_json (request, result->revision));
      return;
    }
  if (result->outcome == HS_EDIT_CONFLICT)
    present = present_json (request, result);
  hs_admin_answer (request, hs_error_http_status (kind),
                   hs_admin_error_json (request, kind,
                                        OUTCOMES[result->outcome].message,
                                        present));
}

/** Reads the body and finds the changes; NULL with the request's error. */
static Apply *
read_apply (HsAdminRequest *request)
{
  const HsLists *lists = hs_lists_get (request->admin->box);
  const char *text = body_text (request);
  HsFieldContext place = { .prefix = "" };
  ApplyBody body = { NULL, false };
  Apply *apply = talloc_zero (request, Apply);
  HsJsonDoc *doc = hs_json_parse (apply, text, strlen (text), HS_JSON_PLAIN,
                                  NULL, &request->error);

  if (doc == NULL
      || !hs_fields_read (apply, doc->root, APPLY_FIELDS,
                          G_N_ELEMENTS (APPLY_FIELDS), &body, &place,
                          &request->error))
    return NULL;
  apply->request = request;
  apply->dry_run = body.dry_run;
  apply->revision = hs_lists_revision (lists);
  apply->changes = hs_list_diff (apply, lists, request->kind, body.records,
                                 &apply->n, &request->error);
  if (apply->changes == NULL)
    return NULL;
  apply->outcomes = talloc_zero_array (apply, HsEditOutcome, apply->n + 1);
  talloc_free (doc);
  return apply;
}

void
hs_admin_apply (HsAdminRequest *request)
{
  Apply *apply = read_apply (request);

  if (apply == NULL)
    return;
  if (apply->dry_run || apply->n == 0)
    finish_apply (apply);
  else
    start_some (apply);
}

static void
start_some (Apply *apply)
{
  HsAdminRequest *request = apply->request;
  HsListsSync *sync = request->admin->sync;
  const HsListChange *change;
  ApplyEdit *edit;

  while (apply->started < apply->n && request->pending < WINDOW)
    {
      edit = talloc_zero (apply, ApplyEdit);
      edit->apply = apply;
      edit->index = apply->started++;
      change = &apply->changes[edit->index];
      request->pending++;
      if (change->kind == HS_CHANGE_REMOVE)
        hs_lists_sync_delete (sync, request->kind, change->name,
                              change->expected, on_apply_edit, edit);
      else
        hs_lists_sync_put (sync, request->kind, change->name, change->json,
                           change->expected, on_apply_edit, edit);
    }
}

static void
on_apply_edit (void *arg, const HsEditResult *result)
{
  ApplyEdit *edit = arg;
  Apply *apply = edit->apply;

  apply->outcomes[edit->index] = result->outcome;
  if (!hs_admin_edit_ended (apply->request))
    return;
  start_some (apply);
  if (apply->request->pending == 0)
    finish_apply (apply);
}

/** Appends ,"WORD":[NAME,...] of the changes of a kind. */
static void
append_names (GString *text,
              const Apply *apply,
              HsChangeKind kind,
              const char *word)
{
  const char *comma = "";
  size_t i;

  g_string_append_printf (text, ",\"%s\":[", word);
  for (i = 0; i < apply->n; i++)
    if (apply->changes[i].kind == kind)
      {
        g_string_append_printf (text, "%s\"%s\"", comma,
                                apply->changes[i].name);
        comma = ",";
      }
  g_string_append_c (text, ']');
}

static void
append_outcomes (GString *text, const Apply *apply)
{
  size_t i;

  g_string_append (text, ",\"outcomes\":{");
  for (i = 0; i < apply->n; i++)
    g_string_append_printf (text, "%s\"%s\":\"%s\"", i > 0 ? "," : "",
                            apply->changes[i].name,
                            OUTCOMES[apply->outcomes[i]].word);
  g_string_append_c (text, '}');
}

static void
finish_apply (Apply *apply)
{
  GString *text = g_string_new (NULL);
  unsigned int status = MHD_HTTP_OK;
  size_t i;

  g_string_append_printf (text, "{\"revision\":%" PRId64 ",\"dry_run\":%s",
                          apply->revision, apply->dry_run ? "true" : "false");
  append_names (text, apply, HS_CHANGE_ADD, "added");
  append_names (text, apply, HS_CHANGE_EDIT, "changed");
  append_names (text, apply, HS_CHANGE_REMOVE, "removed");
  if (!apply->dry_run)
    append_outcomes (text, apply);
  g_string_append_c (text, '}');
  for (i = 0; i < apply->n; i++)
    if (apply->outcomes[i] != HS_EDIT_APPLIED)
      status = MHD_HTTP_CONFLICT;
  hs_admin_answer (apply->request, status,
                   talloc_strdup (apply->request, text->str));
  g_string_free (text, TRUE);
}
