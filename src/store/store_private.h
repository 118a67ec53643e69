/**
 * @file
 * State shared by the calls and watches of the store client.
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
  size_t endpoint; /* Index of the endpoint in use. */
  HsTime timeout;
  /** When a connection was last given up as silent; 0: never. Connections that
   *  are older may be silent too, and aren't used again. */
  HsTime silent_at;
  HsStoreProtocol protocol;
  struct curl_slist *headers;
  HsStoreCall *calls;
  HsStoreWatch *watches;
  HsStoreStats stats;
};

/** Receives the next bytes of a response; false if it grows too large. */
typedef bool (*HsStoreDataFunc) (void *arg, const char *data, size_t len);

/** Where a request delivers its response. It must outlive the request. */
typedef struct
{
  HsStoreDataFunc sink;
  void *arg;
} HsStoreReceiver;

/** Creates the curl handle of a request to the endpoint in use. */
CURL *hs_store_new_request_handle (HsStore *store,
                                   const HsStoreHttpRequest *request,
                                   HsStoreReceiver *receiver);

/** A call got no response, or a watch was silent: its connection and the older
 *  ones aren't used again. */
void hs_store_note_silence (HsStore *store, HsTime now);

/**
 * Counts a failure and switches to the next endpoint.
 * @param endpoint the one that failed; if it is not in use any more, there is
 * no switch
 */
void hs_store_endpoint_failed (HsStore *store, size_t endpoint);

/**
 * Reconnects the watches of a failed endpoint, since an unresponsive host may
 * keep their connections open and send nothing.
 */
void hs_store_reconnect_watches (HsStore *store, size_t endpoint);

/** Frees all watches, for the store's destructor. */
void hs_store_free_watches (HsStore *store);

#endif
