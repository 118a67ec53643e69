SRCS += src/proto/hspoke_xdr.c src/proto/procs.c
