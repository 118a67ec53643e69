/**
 * @file
 * libcurl's multi interface on a tevent loop. All functions are called, and
 * all callbacks run, on the loop's thread.
 */
#ifndef HS_HTTP_CURL_LOOP_H
#define HS_HTTP_CURL_LOOP_H

#include <stdbool.h>

#include <curl/curl.h>
#include <talloc.h>
#include <tevent.h>

typedef struct HsCurl HsCurl;

/**
 * Receives the result of a transfer. @p easy has been removed and belongs to
 * the callee, which cleans it up or adds it again.
 * @param sent whether the request may have left this host. A request is sent
 *        at most once: where libcurl would repeat it on another connection,
 *        the transfer ends with CURLE_ABORTED_BY_CALLBACK instead.
 */
typedef void (*HsCurlDoneFunc) (void *arg,
                                CURL *easy,
                                CURLcode result,
                                bool sent);

/**
 * Creates a talloc child of @p ctx. It may be freed in a done callback, but not
 * in one of libcurl's callbacks. Unfinished transfers then end without `done`,
 * and their handles are cleaned up.
 */
HsCurl *hs_curl_new (TALLOC_CTX *ctx, struct tevent_context *ev);

/** Sets how many idle connections stay open at most. */
void hs_curl_set_max_idle (HsCurl *curl, long n);

/**
 * Starts a transfer; `done` is called from the event loop, unless the transfer
 * is removed before. Sets the handle's CURLOPT_PRIVATE and
 * CURLOPT_PREREQFUNCTION. May be called in any callback.
 */
void hs_curl_add (HsCurl *curl, CURL *easy, HsCurlDoneFunc done, void *arg);

/**
 * Cancels a transfer without calling `done`, and cleans the handle up: at
 * once, or, in one of libcurl's callbacks, after libcurl returns. The write and
 * header callbacks aren't called again. No effect if @p easy isn't in a
 * transfer of @p curl.
 */
void hs_curl_remove (HsCurl *curl, CURL *easy);

#endif
