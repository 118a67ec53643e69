SRCS += src/lists/lists.c src/lists/records.c src/lists/publish.c
