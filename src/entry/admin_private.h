/**
 * @file
 * What the operators' server shares among its own files.
 */
#ifndef HS_ENTRY_ADMIN_PRIVATE_H
#define HS_ENTRY_ADMIN_PRIVATE_H

#include "base/error.h"
#include "entry/admin.h"
#include "http/mhd_loop.h"
#include "http/mhd_request.h"
#include "lists/list_json.h"

typedef struct HsAdminRequest HsAdminRequest;

/** What a path and a method ask for. */
typedef enum
{
  HS_ADMIN_STATUS,
  HS_ADMIN_METRICS,
  HS_ADMIN_LIST,  /**< A whole list. */
  HS_ADMIN_APPLY, /**< Put a whole list in place. */
  HS_ADMIN_GET,   /**< One record. */
  HS_ADMIN_PUT,
  HS_ADMIN_DELETE
} HsAdminVerb;

struct HsAdmin
{
  HsMhd *mhd;
  HsPublishedLists *box;
  HsListsSync *sync;
  HsAdminPages pages;
  char token_hash[HS_KEY_HASH_LEN + 1];
  HsAdminRequest *requests;
};

/** One request; outlives its connection while edits are under way. */
struct HsAdminRequest
{
  HsAdminRequest *prev;
  HsAdminRequest *next;
  HsAdmin *admin; /**< NULL: the connection or the server is gone. */
  struct MHD_Connection *connection;
  HsAdminVerb verb;
  HsListKind kind;
  char name[HS_NAME_MAX + 1];
  int64_t revision; /**< From the query. */
  HsMhdBody body;
  GError *error;
  unsigned int status; /**< Overrides the status of the error's kind. */
  const char *allow;   /**< Methods that the path takes. */
  bool suspended;
  unsigned int pending; /**< Edits under way. */
  char *answer;         /**< JSON, once the edits have ended. */
  unsigned int answer_status;
};

/** Reads the path and the query into the request; sets its error. */
void
hs_admin_route (HsAdminRequest *request, const char *url, const char *method);

/** Starts the edit of one record; may set the error instead. */
void hs_admin_edit (HsAdminRequest *request);

/** Starts the edits that a whole list asks for; may set the error. */
void hs_admin_apply (HsAdminRequest *request);

/**
 * Notes that an edit ended. False if nobody waits for the answer any more;
 * the request is then freed with its last edit.
 */
bool hs_admin_edit_ended (HsAdminRequest *request);

/** Sets the answer, talloc child of the request, and has it written. */
void hs_admin_answer (HsAdminRequest *request, unsigned int status, char *json);

/** JSON of an error; @p present as JSON, or NULL to leave it out. */
char *hs_admin_error_json (TALLOC_CTX *ctx,
                           HsErrorKind kind,
                           const char *message,
                           const char *present);

#endif
