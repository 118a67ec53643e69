SRCS += src/agent/memory.c src/agent/slots.c src/agent/gate.c
