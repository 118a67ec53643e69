SRCS += src/config/json_check.c src/config/json_fields.c
SRCS += src/config/settings.c src/config/entry_memory.c
