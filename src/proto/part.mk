SRCS += src/proto/hspoke_xdr.c
