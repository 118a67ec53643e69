/**
 * @file
 * Annotations for the thread sanitizer, which can't see the memory ordering
 * that liburcu guarantees. They are empty in other builds.
 */
#ifndef HS_BASE_TSAN_H
#define HS_BASE_TSAN_H

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define HS_TSAN_RELEASE(address) __tsan_release ((void *) (address))
#define HS_TSAN_ACQUIRE(address) __tsan_acquire ((void *) (address))
#else
#define HS_TSAN_RELEASE(address) ((void) (address))
#define HS_TSAN_ACQUIRE(address) ((void) (address))
#endif

#endif
