SRCS += src/lists/lists.c src/lists/records.c src/lists/publish.c
SRCS += src/lists/sync.c src/lists/edit.c src/lists/list_json.c
