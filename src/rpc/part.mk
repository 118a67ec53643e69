SRCS += src/rpc/record.c src/rpc/conn.c src/rpc/endpoint.c
