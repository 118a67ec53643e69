SRCS += src/direct/room.c src/direct/runs.c src/direct/runs_look.c src/direct/offers.c src/direct/trust.c src/direct/pace.c src/direct/rendezvous.c
SRCS += src/direct/targets.c src/direct/demand.c src/direct/jobs_rank.c
SRCS += src/direct/jobs.c src/direct/routes.c src/direct/dialer.c
SRCS += src/direct/process.c src/direct/agent.c src/direct/agent_links.c
SRCS += src/direct/entry.c src/direct/entry_links.c src/direct/entry_config.c
SRCS += src/direct/entry_key.c src/direct/entry_early.c \
	src/direct/entry_requests.c
