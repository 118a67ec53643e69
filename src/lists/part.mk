SRCS += src/lists/lists.c src/lists/records.c
