/**
 * @file
 * Crowds of clients that keep their requests open, and the memory and
 * descriptors of the process that they call. Used by the tests that measure
 * these; no other load may run beside them.
 */
#ifndef HS_TEST_CROWD_H
#define HS_TEST_CROWD_H

#include <stddef.h>
#include <sys/types.h>

#include <glib.h>

/** Most bytes that a client sends at once, if it sends its request whole. */
#define CROWD_WHOLE_BYTES ((size_t) 16 * 1024 * 1024)

/** Digits of a client's number. */
#define CROWD_DIGITS 6

/** Clients that all send the same bytes, and stay connected. */
typedef struct
{
  const char *address; /**< "IP:port". */
  const char *data;
  size_t len;
  size_t piece;     /**< Most bytes sent at once. */
  size_t held;      /**< Bytes at the end that crowd_finish() sends. */
  size_t number_at; /**< Offset of CROWD_DIGITS digits in whose place each
                         client sends its own number; 0: none. */
  unsigned int first_number; /**< Number of the first client. */
  unsigned int n;
  int settle_ms; /**< Time for the process to read what was sent; 0: 500. */
} Crowd;

/** A process that serves a crowd. */
typedef struct
{
  pid_t pid;
  size_t baseline_kb; /**< Resident before the crowd. */
  size_t peak_kb;     /**< Most that was seen by crowd_watch(). */
} CrowdProcess;

/** Connects the clients and sends their data, as far as the process reads it.
 *  @param process watched meanwhile */
void crowd_send (const Crowd *crowd, CrowdProcess *process);

/** Sends the bytes that were held back, on all connections of the last
 *  crowd_send() while the process is suspended, so that it finds all of them at
 *  once. */
void crowd_finish (const Crowd *crowd, CrowdProcess *process);

/** Teardown of a test: closes all connections of all crowds. */
int crowd_end (void **state);

/** A test of crowds for cmocka. */
#define CROWD_TEST(f) cmocka_unit_test_teardown (f, crowd_end)

/** Begins to measure a process; it serves no crowd yet. */
CrowdProcess crowd_process (pid_t pid);

/** Measures now.
 *  @param address whose unread bytes count, or NULL */
void crowd_watch (CrowdProcess *process, const char *address);

/** Checks that the process lives, and its descriptors and the most memory that
 *  was measured: resident, and received but unread bytes. With a sanitizer,
 *  which has memory of its own, only what was added since crowd_process(). */
void crowd_check (const CrowdProcess *process,
                  unsigned int memory_mb,
                  unsigned int max_fds);

/** Lines of a log that contain @p text. */
size_t crowd_count_lines (const char *path, const char *text);

/** A request of @p head and a body of @p body_bytes, of which the last
 *  @p missing bytes are left out: one long string. */
GString *
crowd_sized_request (const char *head, size_t body_bytes, size_t missing);

/** A chunked request without its last chunk. */
GString *
crowd_chunked_request (const char *head, size_t body_bytes, size_t chunk_bytes);

/** A complete request of @p body_bytes whose body has @p begin, @p value as
 *  often as it fits, separated by commas, and @p end. */
GString *crowd_values_request (const char *head,
                               size_t body_bytes,
                               const char *begin,
                               const char *value,
                               const char *end);

#endif
