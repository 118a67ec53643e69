SRCS += src/store/codec.c src/store/encode.c src/store/store.c src/store/watch.c
