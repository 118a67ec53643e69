SRCS += src/rpc/record.c src/rpc/conn.c src/rpc/endpoint.c
SRCS += src/rpc/probe.c
