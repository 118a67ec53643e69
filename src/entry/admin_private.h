/**
 * @file
 * Declarations shared by the files of the operators' HTTP server.
 */
#ifndef HS_ENTRY_ADMIN_PRIVATE_H
#define HS_ENTRY_ADMIN_PRIVATE_H

#include "base/error.h"
#include "entry/admin.h"
#include "http/mhd_loop.h"
#include "http/mhd_request.h"
#include "lists/list_json.h"

typedef struct HsAdminRequest HsAdminRequest;

/** The operation that a path and a method select. */
typedef enum
{
  HS_ADMIN_STATUS,
  HS_ADMIN_METRICS,
  HS_ADMIN_LIST,  /**< GET of a whole list. */
  HS_ADMIN_APPLY, /**< Replace a whole list. */
  HS_ADMIN_GET,   /**< GET of one record. */
  HS_ADMIN_PUT,   /**< Create or replace one record. */
  HS_ADMIN_DELETE /**< Delete one record. */
} HsAdminAction;

struct HsAdmin
{
  HsMhd *mhd;
  HsPublishedLists *box;
  HsListsSync *sync;
  HsAdminPages pages;
  char token_hash[HS_KEY_HASH_LEN + 1];
  HsAdminRequest *requests; /**< Doubly linked list of open requests. */
};

/** A request. It outlives its connection while edits are in progress. */
struct HsAdminRequest
{
  HsAdminRequest *prev;
  HsAdminRequest *next;
  HsAdmin *admin; /**< NULL once the connection has ended. */
  struct MHD_Connection *connection;
  HsAdminAction action;
  HsListKind kind;
  char name[HS_NAME_MAX + 1];
  int64_t revision; /**< Expected revision, from the query. */
  HsMhdBody body;
  GError *error;
  unsigned int status_override; /**< HTTP status; 0: that of the error. */
  const char *allowed_methods;  /**< For the Allow header of status 405. */
  bool suspended;               /**< The MHD connection is suspended. */
  unsigned int pending_edits;   /**< Edits without an outcome yet. */
  char *response_json;          /**< Set when all edits have ended. */
  unsigned int response_status;
};

/**
 * Parses the path and the query into the request. On failure sets the
 * request's error.
 */
void hs_admin_route_request (HsAdminRequest *request,
                             const char *url,
                             const char *method);

/**
 * Starts the edit of one record. If the edit is refused, sets the request's
 * error or its response instead.
 */
void hs_admin_start_edit (HsAdminRequest *request);

/**
 * Starts the edits that turn the stored list into the one in the body. If the
 * body is invalid, sets the request's error instead.
 */
void hs_admin_start_apply (HsAdminRequest *request);

/**
 * Records that an edit has ended.
 * @return false if the connection has ended, so that no response is needed;
 *         the request is then freed with its last edit
 */
bool hs_admin_edit_ended (HsAdminRequest *request);

/**
 * Sets the response and resumes the connection, which sends it.
 * @param json talloc child of the request; NULL: the request's error is sent
 */
void hs_admin_set_response (HsAdminRequest *request,
                            unsigned int status,
                            char *json);

/**
 * Renders an error as JSON.
 * @param current the stored record as JSON, added under the key "present";
 *        NULL leaves the key out
 * @return talloc child of @p ctx
 */
char *hs_admin_error_json (TALLOC_CTX *ctx,
                           HsErrorKind kind,
                           const char *message,
                           const char *current);

#endif
