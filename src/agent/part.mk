SRCS += src/agent/start_log.c src/agent/slots.c src/agent/admission.c
SRCS += src/agent/target_msg.c src/agent/target_call.c
SRCS += src/agent/target_api.c src/agent/stats.c
SRCS += src/agent/connected_entries.c src/agent/registration.c
SRCS += src/agent/agent.c src/agent/target.c src/agent/starts.c src/agent/recover.c
SRCS += src/agent/crash_watch.c
SRCS += src/agent/main.c
