/**
 * @file
 * Parses the answer of an entry and checks it against the job that was
 * submitted. No I/O.
 */
#ifndef LOAD_ANSWER_H
#define LOAD_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#define ANSWER_KIND_SIZE 24

/** State of the job, or why there is none. */
typedef enum
{
  ANSWER_COMPLETE,
  ANSWER_FAILED,
  ANSWER_REFUSED, /**< The answer is an error. */
  ANSWER_MALFORMED
} AnswerState;

typedef enum
{
  TASK_MISSING, /**< Not in the answer, or in an unknown state. */
  TASK_DONE,
  TASK_FAILED,
  TASK_NOT_RUN,
  TASK_MAY_HAVE_RUN
} TaskState;

typedef struct
{
  AnswerState state;
  char kind[ANSWER_KIND_SIZE]; /**< Kind of the refusal; else empty. */
  bool not_run; /**< The refusal states that no task was started. */
  bool partial; /**< Tasks are missing, or contradict the state of the job. */
  bool crossed; /**< Contains an id, a customer or a result of another job or
                   task. */
  uint32_t n_tasks;
  TaskState
      *tasks; /**< One for each task submitted; talloc child of the answer. */
} Answer;

/** The job that was submitted. */
typedef struct
{
  const char *customer;
  const char *id;
  uint32_t n_tasks;
} SubmittedJob;

/**
 * Checks one answer; it need not be NUL-terminated.
 * @return talloc child of @p ctx
 */
Answer *answer_check (TALLOC_CTX *ctx,
                      const char *text,
                      size_t len,
                      const SubmittedJob *submitted);

/** Names of the states, as in JSON. */
const char *answer_state_name (AnswerState state);
const char *answer_task_state_name (TaskState state);

/** Parses the name of a task state; returns TASK_MISSING if it is unknown. */
TaskState answer_parse_task_state (const char *name);

#endif
