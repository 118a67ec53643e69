SRCS += src/direct/resources.c src/direct/runs.c src/direct/runs_start.c src/direct/runs_poll.c
SRCS += src/direct/runs_crash.c src/direct/runs_lease.c src/direct/crash_message.c
SRCS += src/direct/backlog.c
SRCS += src/direct/offers.c src/direct/breaker.c src/direct/progress_rate.c
SRCS += src/direct/targets.c src/direct/targets_groups.c src/direct/demand.c
SRCS += src/direct/jobs.c src/direct/jobs_answer.c src/direct/jobs_place.c
SRCS += src/direct/jobs_crash.c src/direct/jobs_rank.c src/direct/routes.c
SRCS += src/direct/service_rate.c src/direct/wait_forecast.c src/direct/entry_lookup.c
SRCS += src/direct/dialer.c src/direct/process.c
SRCS += src/direct/agent.c src/direct/agent_target.c src/direct/agent_links.c
SRCS += src/direct/entry.c src/direct/entry_links.c src/direct/entry_config.c
SRCS += src/direct/entry_cancel.c src/direct/cancelled_jobs.c
SRCS += src/direct/callers_check.c
SRCS += src/direct/evacuations.c src/direct/entry_evacuation.c
SRCS += src/direct/agent_evacuation.c src/direct/jobs_evacuation.c
SRCS += src/direct/entry_orders.c
SRCS += src/direct/entry_key.c src/direct/entry_held_requests.c \
	src/direct/entry_requests.c
