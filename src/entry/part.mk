SRCS += src/entry/job_json.c
SRCS += src/entry/front.c src/entry/front_http.c src/entry/front_table.c
SRCS += src/entry/admin.c src/entry/admin_route.c src/entry/admin_edit.c
