SRCS += src/config/json_check.c src/config/json_fields.c src/config/json_cost.c
SRCS += src/config/settings.c src/config/entry_memory.c
