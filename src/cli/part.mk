SRCS += src/cli/common.c src/cli/http_call.c src/cli/submit.c
SRCS += src/cli/plan.c src/cli/allowance.c src/cli/list_command.c src/cli/list_apply.c
SRCS += src/cli/status.c src/cli/check.c
