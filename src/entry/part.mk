SRCS += src/entry/job_json.c
SRCS += src/entry/front.c src/entry/front_http.c src/entry/front_table.c
SRCS += src/entry/admin.c src/entry/admin_route.c src/entry/admin_edit.c
SRCS += src/entry/members.c src/entry/promises.c src/entry/introductions.c src/entry/ownership.c
SRCS += src/entry/links.c src/entry/agents.c src/entry/peers.c
SRCS += src/entry/calls.c src/entry/keeper.c src/entry/handover.c
SRCS += src/entry/records.c src/entry/core.c src/entry/entry.c
SRCS += src/entry/report.c src/entry/suspicions.c
