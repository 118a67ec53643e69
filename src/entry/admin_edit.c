/**
 * @file
 * Operators' edits of one record and of a whole list.
 */
#include <inttypes.h>
#include <string.h>

#include "config/json_check.h"
#include "config/json_fields.h"
#include "entry/admin_private.h"

/** Bound on the edits of a whole list that run at the same time. */
#define MAX_CONCURRENT_EDITS 8

/** The body of POST /v1/LIST:apply. */
typedef struct
{
  struct json_object *records;
  bool dry_run;
} ApplyRequestBody;

/** The replacement of a whole list; talloc child of its request. */
typedef struct
{
  HsAdminRequest *request;
  bool dry_run;
  int64_t revision; /**< Of the lists that the body was compared with. */
  HsListChange *changes;
  size_t n_changes;
  size_t n_started;
  HsListEditOutcome *outcomes;
} ListApply;

/** One edit of a ListApply. */
typedef struct
{
  ListApply *apply;
  size_t index;
} ListApplyEdit;

static const HsField APPLY_FIELDS[] = {
  { "records", HS_FIELD_OBJECT, true, 0, 0,
    offsetof (ApplyRequestBody, records), NULL, NULL },
  { "dry_run", HS_FIELD_BOOL, false, 0, 0, offsetof (ApplyRequestBody, dry_run),
    NULL, NULL },
};

static const struct
{
  const char *label;
  HsErrorKind kind;
  const char *message;
} OUTCOMES[] = {
  [HS_LIST_EDIT_APPLIED] = { "applied", HS_ERROR_INTERNAL, "" },
  [HS_LIST_EDIT_CONFLICT]
  = { "conflict", HS_ERROR_CONFLICT,
      "not applied: the record has changed; read it and edit again" },
  [HS_LIST_EDIT_NOT_APPLIED]
  = { "not_applied", HS_ERROR_UNAVAILABLE,
      "not applied: the store is unreachable; try again later" },
  [HS_LIST_EDIT_UNKNOWN]
  = { "unknown", HS_ERROR_UNKNOWN,
      "no response from the store, the edit may have been applied; "
      "read the record back" },
};

static void on_edit_done (void *arg, const HsListEditResult *result);
static void start_next_edits (ListApply *apply);
static void on_apply_edit_done (void *arg, const HsListEditResult *result);
static void respond_apply (ListApply *apply);

/** The body as a NUL-terminated string; "" if there is none. */
static const char *
body_text (HsAdminRequest *request)
{
  if (request->body.data == NULL)
    return "";
  return talloc_strndup (request, request->body.data, request->body.len);
}

/**
 * Refuses an edit whose expected revision differs from the one known here: it
 * would fail in the store. Also refuses an edit of a revision that this entry
 * has not read yet, because a plan without a key keeps the key of the record
 * known here. Sets the request's error or its response.
 */
static bool
check_revision (HsAdminRequest *request, const HsLists *lists)
{
  int64_t current_revision
      = hs_list_record_revision (lists, request->kind, request->name);
  const char *current;

  if (current_revision == request->revision)
    return true;
  if (current_revision < request->revision
      && hs_lists_revision (lists) < request->revision)
    {
      g_set_error (&request->error, HS_ERROR, HS_ERROR_UNAVAILABLE,
                   "not applied: this entry has not read that revision yet; "
                   "try again later");
      return false;
    }
  current = hs_list_record_json (request, lists, request->kind, request->name);
  hs_admin_set_response (
      request, hs_error_http_status (HS_ERROR_CONFLICT),
      hs_admin_error_json (request, HS_ERROR_CONFLICT,
                           OUTCOMES[HS_LIST_EDIT_CONFLICT].message,
                           current != NULL ? current : "null"));
  return false;
}

void
hs_admin_start_edit (HsAdminRequest *request)
{
  HsAdmin *admin = request->admin;
  const HsLists *lists = hs_published_lists_get (admin->box);
  const char *json;

  if (request->action == HS_ADMIN_DELETE)
    {
      if (!check_revision (request, lists))
        return;
      request->pending_edits = 1;
      hs_lists_sync_delete (admin->sync, request->kind, request->name,
                            request->revision, on_edit_done, request);
      return;
    }
  json = hs_list_normalise (request, lists, request->kind, request->name,
                            body_text (request), &request->error);
  if (json == NULL || !check_revision (request, lists))
    return;
  request->pending_edits = 1;
  hs_lists_sync_put (admin->sync, request->kind, request->name, json,
                     request->revision, on_edit_done, request);
}

static char *
applied_json (HsAdminRequest *request, int64_t revision)
{
  return talloc_asprintf (
      request, "{\"applied\":true,\"revision\":%" PRId64 "}", revision);
}

/** The stored record, with its revision; "null" if there is none. */
static const char *
current_record_json (HsAdminRequest *request, const HsListEditResult *result)
{
  size_t len = result->current != NULL ? strlen (result->current) : 0;

  if (len < 2 || result->current[len - 1] != '}')
    return "null";
  return talloc_asprintf (request, "%.*s,\"revision\":%" PRId64 "}",
                          (int) (len - 1), result->current, result->revision);
}

static void
on_edit_done (void *arg, const HsListEditResult *result)
{
  HsAdminRequest *request = arg;
  HsErrorKind kind = OUTCOMES[result->outcome].kind;
  const char *current = NULL;

  if (!hs_admin_edit_ended (request))
    return;
  if (result->outcome == HS_LIST_EDIT_APPLIED)
    {
      hs_admin_set_response (request, MHD_HTTP_OK,
                             applied_json (request, result->revision));
      return;
    }
  if (result->outcome == HS_LIST_EDIT_CONFLICT)
    current = current_record_json (request, result);
  hs_admin_set_response (request, hs_error_http_status (kind),
                         hs_admin_error_json (request, kind,
                                              OUTCOMES[result->outcome].message,
                                              current));
}

/**
 * Parses the body and compares it with the lists. Returns NULL and sets the
 * request's error on failure.
 */
static ListApply *
parse_apply (HsAdminRequest *request)
{
  const HsLists *lists = hs_published_lists_get (request->admin->box);
  const char *text = body_text (request);
  HsFieldContext place = { .prefix = "" };
  ApplyRequestBody body = { NULL, false };
  ListApply *apply = talloc_zero (request, ListApply);
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
                                 &apply->n_changes, &request->error);
  if (apply->changes == NULL)
    return NULL;
  apply->outcomes
      = talloc_zero_array (apply, HsListEditOutcome, apply->n_changes + 1);
  talloc_free (doc);
  return apply;
}

void
hs_admin_start_apply (HsAdminRequest *request)
{
  ListApply *apply = parse_apply (request);

  if (apply == NULL)
    return;
  if (apply->dry_run || apply->n_changes == 0)
    respond_apply (apply);
  else
    start_next_edits (apply);
}

static void
start_next_edits (ListApply *apply)
{
  HsAdminRequest *request = apply->request;
  HsListsSync *sync = request->admin->sync;
  const HsListChange *change;
  ListApplyEdit *edit;

  while (apply->n_started < apply->n_changes
         && request->pending_edits < MAX_CONCURRENT_EDITS)
    {
      edit = talloc_zero (apply, ListApplyEdit);
      edit->apply = apply;
      edit->index = apply->n_started++;
      change = &apply->changes[edit->index];
      request->pending_edits++;
      if (change->kind == HS_LIST_CHANGE_REMOVE)
        hs_lists_sync_delete (sync, request->kind, change->name,
                              change->expected_revision, on_apply_edit_done,
                              edit);
      else
        hs_lists_sync_put (sync, request->kind, change->name, change->json,
                           change->expected_revision, on_apply_edit_done, edit);
    }
}

static void
on_apply_edit_done (void *arg, const HsListEditResult *result)
{
  ListApplyEdit *edit = arg;
  ListApply *apply = edit->apply;

  apply->outcomes[edit->index] = result->outcome;
  if (!hs_admin_edit_ended (apply->request))
    return;
  start_next_edits (apply);
  if (apply->request->pending_edits == 0)
    respond_apply (apply);
}

/** Appends ,"LABEL":[NAME,...] with the names of the changes of a kind. */
static void
append_names (GString *text,
              const ListApply *apply,
              HsListChangeKind kind,
              const char *label)
{
  const char *comma = "";
  size_t i;

  g_string_append_printf (text, ",\"%s\":[", label);
  for (i = 0; i < apply->n_changes; i++)
    if (apply->changes[i].kind == kind)
      {
        g_string_append_printf (text, "%s\"%s\"", comma,
                                apply->changes[i].name);
        comma = ",";
      }
  g_string_append_c (text, ']');
}

static void
append_outcomes (GString *text, const ListApply *apply)
{
  size_t i;

  g_string_append (text, ",\"outcomes\":{");
  for (i = 0; i < apply->n_changes; i++)
    g_string_append_printf (text, "%s\"%s\":\"%s\"", i > 0 ? "," : "",
                            apply->changes[i].name,
                            OUTCOMES[apply->outcomes[i]].label);
  g_string_append_c (text, '}');
}

static void
respond_apply (ListApply *apply)
{
  GString *text = g_string_new (NULL);
  unsigned int status = MHD_HTTP_OK;
  size_t i;

  g_string_append_printf (text, "{\"revision\":%" PRId64 ",\"dry_run\":%s",
                          apply->revision, apply->dry_run ? "true" : "false");
  append_names (text, apply, HS_LIST_CHANGE_ADD, "added");
  append_names (text, apply, HS_LIST_CHANGE_EDIT, "changed");
  append_names (text, apply, HS_LIST_CHANGE_REMOVE, "removed");
  if (!apply->dry_run)
    append_outcomes (text, apply);
  g_string_append_c (text, '}');
  for (i = 0; i < apply->n_changes; i++)
    if (apply->outcomes[i] != HS_LIST_EDIT_APPLIED)
      status = MHD_HTTP_CONFLICT;
  hs_admin_set_response (apply->request, status,
                         talloc_strdup (apply->request, text->str));
  g_string_free (text, TRUE);
}
