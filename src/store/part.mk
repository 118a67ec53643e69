SRCS += src/store/decode.c src/store/encode.c src/store/poll_schedule.c \
	src/store/store.c src/store/watch.c src/store/wire.c
SRCS += src/store/claim_codec.c src/store/claim_log.c src/store/claim_txn.c \
	src/store/claim_load.c src/store/claims.c
