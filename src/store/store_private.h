/**
 * @file
 * What the store client's calls and watches share. Private to this part.
 */
#ifndef HS_STORE_PRIVATE_H
#define HS_STORE_PRIVATE_H

#include <curl/curl.h>

#include "http/curl_loop.h"
#include "store/store.h"
#include "store/wire.h"

typedef struct HsStoreCall HsStoreCall;

struct HsStore
{
  struct tevent_context *ev;
  HsCurl *curl;
  char **endpoints;
  size_t n_endpoints;
  size_t endpoint; /* Index of the one in use. */
  HsTime timeout;
  HsStoreProtocol protocol;
  struct curl_slist *headers;
  HsStoreCall *calls;
  HsStoreWatch *watches;
  HsStoreStats stats;
};

/** Receives a part of the answer; false if it is too large. */
typedef bool (*HsStoreDataFunc) (void *arg, const char *data, size_t len);

/** What a request needs from its owner, which must outlive it. */
typedef struct
{
  HsStoreDataFunc sink;
  void *arg;
} HsStoreReceiver;

/** Makes the handle of a request to the endpoint in use. */
CURL *hs_store_new_request_handle (HsStore *store,
                                   const HsStoreHttpRequest *request,
                                   HsStoreReceiver *receiver);

/** Goes on to the next endpoint, unless that has been done since. */
void hs_store_endpoint_failed (HsStore *store, size_t endpoint);

/** Dials watches of a failed endpoint anew, since a host that hangs may keep
 *  their connections open without a word. */
void hs_store_reconnect_watches (HsStore *store, size_t endpoint);

/** Frees all watches, as the store's destructor needs. */
void hs_store_free_watches (HsStore *store);

#endif
