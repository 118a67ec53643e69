/**
 * @file
 * libcurl's multi interface on a tevent loop. All functions and callbacks
 * belong to the loop's thread.
 */
#ifndef HS_HTTP_CURL_LOOP_H
#define HS_HTTP_CURL_LOOP_H

#include <stdbool.h>

#include <curl/curl.h>
#include <talloc.h>
#include <tevent.h>

typedef struct HsCurl HsCurl;

/**
 * Receives the end of a transfer. @p easy was removed before the call and
 * belongs to the caller again: clean it up, or add it anew.
 * @param sent whether the request may have left this host. A request is sent
 *        at most once: where libcurl would repeat it on another connection,
 *        the transfer ends with CURLE_ABORTED_BY_CALLBACK instead.
 */
typedef void (*HsCurlDoneFunc) (void *arg,
                                CURL *easy,
                                CURLcode result,
                                bool sent);

/**
 * Creates a loop. Free it with talloc_free(): in a done callback too, but not
 * inside one of libcurl's callbacks. Transfers then end without `done`, and
 * their handles are cleaned up.
 */
HsCurl *hs_curl_new (TALLOC_CTX *ctx, struct tevent_context *ev);

/** Keeps up to @p n idle connections open. */
void hs_curl_set_max_idle (HsCurl *curl, long n);

/**
 * Starts a transfer; `done` follows from the event loop, unless it is removed
 * before. Takes over the handle's CURLOPT_PRIVATE and CURLOPT_PREREQFUNCTION.
 * May be called in any callback.
 */
void hs_curl_add (HsCurl *curl, CURL *easy, HsCurlDoneFunc done, void *arg);

/**
 * Cuts a transfer without calling `done`, and cleans the handle up: at once,
 * or after libcurl returns where this is called in one of its callbacks. The
 * write and header callbacks aren't called again. No effect if @p easy
 * isn't in a transfer of @p curl.
 */
void hs_curl_remove (HsCurl *curl, CURL *easy);

#endif
