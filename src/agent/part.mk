SRCS += src/agent/memory.c src/agent/slots.c src/agent/gate.c
SRCS += src/agent/target_msg.c src/agent/target_call.c
