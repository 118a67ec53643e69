SRCS += src/cli/common.c src/cli/http_call.c src/cli/submit.c
SRCS += src/cli/plan.c src/cli/allowance.c src/cli/records.c src/cli/apply.c
SRCS += src/cli/status.c src/cli/check.c
