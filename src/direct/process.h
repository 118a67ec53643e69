/**
 * @file
 * What the entry and the agent have in common as processes of the platform:
 * their incarnation number, a client of the store, and settings that may change
 * while they run.
 */
#ifndef HS_DIRECT_PROCESS_H
#define HS_DIRECT_PROCESS_H

#include <stdint.h>

#include <tevent.h>

#include "base/time.h"
#include "http/body_budget.h"
#include "metrics/metrics.h"
#include "platform/settings.h"
#include "rpc/conn.h"
#include "store/store.h"

/** @return a random incarnation number other than 0; aborts the process if the
 *  kernel provides no random bytes */
uint64_t hs_process_new_incarnation (void);

/** Called with the length of a pause of this process, before the events that
 *  came meanwhile are handled. It may not free watched sockets. */
typedef void (*HsPauseFunc) (void *arg, HsTime length, HsTime now);

typedef struct HsPauseWatch HsPauseWatch;

/** Detects that the process was paused, for HS_PAUSE_MIN or longer, when the
 * event loop begins and ends to wait. */
HsPauseWatch *hs_pause_watch_new (TALLOC_CTX *ctx,
                                  struct tevent_context *ev,
                                  HsPauseFunc paused,
                                  void *arg);

/** Detects a pause since then; to be called before what may have waited
 *  meanwhile is handled. */
void hs_pause_watch_check (HsPauseWatch *watch, HsTime now);

/** Creates a client of the platform's store.
 *  @param settings have the address of the store */
HsStore *hs_process_store_new (TALLOC_CTX *ctx,
                               struct tevent_context *ev,
                               const HsPlatformSettings *settings);

/**
 * Creates the budget for requests in progress of all HTTP servers of the
 * process, and its gauges. Siblings that use it are to be created later, as
 * talloc frees the later ones first.
 * @param limits set to what the host's memory and descriptors allow
 */
HsBodyBudget *hs_process_body_budget_new (TALLOC_CTX *ctx,
                                          const HsPlatformSettings *settings,
                                          HsMetrics *metrics,
                                          HsBodyLimits *limits);

/** Prefix of the store keys under which entries publish their addresses. */
#define HS_ENTRY_KEY_PREFIX "hs/entry/"

/** Reloads the settings when their file changes and on SIGHUP. */
typedef struct HsSettingsWatch HsSettingsWatch;

/**
 * Starts to watch a settings file.
 * @param path the file; copied
 * @param apply receives new settings that were read and are valid, and owns
 *        them
 */
HsSettingsWatch *
hs_settings_watch_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const char *path,
                       void (*apply) (void *arg, HsPlatformSettings *settings),
                       void *arg);

/** Reloads the settings if the modification time of the file has changed; to be
 *  called at regular intervals. */
void hs_settings_watch_check (HsSettingsWatch *watch);

#endif
