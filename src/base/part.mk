SRCS += src/base/time.c src/base/error.c src/base/log.c src/base/uuid7.c src/base/address.c
