/**
 * @file
 * What both roles do as processes of the platform: identity, settings that
 * change while they run.
 */
#ifndef HS_DIRECT_PROCESS_H
#define HS_DIRECT_PROCESS_H

#include <stdint.h>

#include <tevent.h>

#include "base/time.h"
#include "platform/settings.h"
#include "rpc/conn.h"
#include "store/store.h"

/** A random number other than 0. */
uint64_t hs_process_new_incarnation (void);

/** A client of the platform's store. */
HsStore *hs_process_store_new (TALLOC_CTX *ctx,
                               struct tevent_context *ev,
                               const HsPlatformSettings *settings);

/** Keys under which entries make themselves known. */
#define HS_ENTRY_KEY_PREFIX "hs/entry/"

/** Watches the settings file and SIGHUP. */
typedef struct HsSettingsWatch HsSettingsWatch;

/** @param apply gets settings that were read and are sound; it takes them */
HsSettingsWatch *
hs_settings_watch_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const char *path,
                       void (*apply) (void *arg, HsPlatformSettings *settings),
                       void *arg);

/** Looks whether the file has changed; call now and then. */
void hs_settings_watch_check (HsSettingsWatch *watch);

#endif
