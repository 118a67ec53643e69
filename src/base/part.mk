SRCS += src/base/time.c src/base/error.c src/base/log.c src/base/address.c src/base/socket.c
SRCS += src/base/queue.c src/base/uuid7.c src/base/timer.c src/base/event.c
