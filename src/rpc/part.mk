SRCS += src/rpc/record.c src/rpc/conn.c src/rpc/handshake.c src/rpc/pending.c src/rpc/endpoint.c
SRCS += src/rpc/probe.c
