/**
 * @file
 * Checks one answer of an entry against the job that was submitted. Pure.
 */
#ifndef LOAD_ANSWER_H
#define LOAD_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#define ANSWER_KIND_SIZE 24

typedef enum
{
  ANSWER_COMPLETE,
  ANSWER_FAILED,
  ANSWER_REFUSED,
  ANSWER_MALFORMED
} AnswerState;

typedef enum
{
  TASK_MISSING,
  TASK_DONE,
  TASK_FAILED,
  TASK_NOT_RUN,
  TASK_MAY_HAVE_RUN
} TaskState;

typedef struct
{
  AnswerState state;
  char kind[ANSWER_KIND_SIZE]; /**< Of a refusal, else empty. */
  bool not_run;                /**< The refusal's promise. */
  bool partial;                /**< Not whole, or at odds with its state. */
  bool crossed;                /**< Holds something of another request. */
  uint32_t n_tasks;
  TaskState *tasks; /**< n_tasks of the job; talloc child of the answer. */
} Answer;

/** What was submitted. */
typedef struct
{
  const char *customer;
  const char *id;
  uint32_t n_tasks;
} SubmittedJob;

/** @return talloc child of @p ctx */
Answer *answer_check (TALLOC_CTX *ctx,
                      const char *text,
                      size_t len,
                      const SubmittedJob *submitted);

/** The words of the states. */
const char *answer_state_name (AnswerState state);
const char *answer_task_state_name (TaskState state);

/** Reads a task state's word; TASK_MISSING if there is none such. */
TaskState answer_parse_task_state (const char *name);

#endif
