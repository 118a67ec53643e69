#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "load/answer.h"

#define HEAD "{\"customer\":\"c\",\"id\":\"i\",\"state\":"
#define DONE(n)                                                                \
  "{\"state\":\"done\",\"status\":200,"                                        \
  "\"result\":\"nonce=i-" n " task=c/i/" n "\\n\"}"
#define NOT_RUN "{\"state\":\"not_run\",\"kind\":\"cancelled\"}"

typedef struct
{
  const char *text;
  AnswerState state;
  bool partial;
  bool crossed;
} Case;

static const Case CASES[] = {
  { HEAD "\"complete\",\"tasks\":[" DONE ("0") "," DONE ("1") "]}",
    ANSWER_COMPLETE, false, false },
  { HEAD "\"failed\",\"tasks\":[" DONE ("0") "," NOT_RUN "]}", ANSWER_FAILED,
    false, false },
  /* Incomplete, or in contradiction to the state of the job. */
  { HEAD "\"complete\",\"tasks\":[" DONE ("0") "]}", ANSWER_COMPLETE, true,
    false },
  { HEAD "\"complete\",\"tasks\":[" DONE ("0") "," NOT_RUN "]}",
    ANSWER_COMPLETE, true, false },
  { HEAD "\"failed\",\"tasks\":[" DONE ("0") "," DONE ("1") "]}", ANSWER_FAILED,
    true, false },
  { HEAD "\"failed\",\"tasks\":[" DONE ("0") ",{}]}", ANSWER_FAILED, true,
    false },
  /* Data of another task or job. */
  { HEAD "\"complete\",\"tasks\":[" DONE ("1") "," DONE ("0") "]}",
    ANSWER_COMPLETE, false, true },
  { "{\"customer\":\"c\",\"id\":\"j\",\"state\":\"complete\",\"tasks\":[" DONE (
        "0") "," DONE ("1") "]}",
    ANSWER_COMPLETE, false, true },
  { HEAD "\"running\"}", ANSWER_MALFORMED, false, false },
  { "[1", ANSWER_MALFORMED, false, false },
  { "7", ANSWER_MALFORMED, false, false },
};

static void
answers_are_classified (void **state)
{
  const SubmittedJob submitted = { .customer = "c", .id = "i", .n_tasks = 2 };
  size_t i;

  (void) state;
  for (i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    {
      Answer *answer = answer_check (NULL, CASES[i].text,
                                     strlen (CASES[i].text), &submitted);

      assert_int_equal (answer->state, CASES[i].state);
      assert_int_equal (answer->partial, CASES[i].partial);
      assert_int_equal (answer->crossed, CASES[i].crossed);
      talloc_free (answer);
    }
}

static void
refusals_are_parsed (void **state)
{
  static const char text[] = "{\"error\":{\"kind\":\"limit\","
                             "\"message\":\"m\",\"not_run\":true}}";
  const SubmittedJob submitted = { .customer = "c", .id = "i", .n_tasks = 1 };
  Answer *answer = answer_check (NULL, text, strlen (text), &submitted);

  (void) state;
  assert_int_equal (answer->state, ANSWER_REFUSED);
  assert_string_equal (answer->kind, "limit");
  assert_true (answer->not_run);
  talloc_free (answer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (answers_are_classified),
    cmocka_unit_test (refusals_are_parsed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
