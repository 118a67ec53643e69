SRCS += src/owner/owner.c src/owner/jobs.c src/owner/customers.c \
	src/owner/submit.c src/owner/admission.c src/owner/dispatch.c src/owner/agents.c \
	src/owner/retention.c src/owner/takeover.c src/owner/handover.c src/owner/crashes.c src/owner/peers.c
