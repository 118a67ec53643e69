SRCS += src/http/body_budget.c
SRCS += src/http/curl_loop.c
SRCS += src/http/mhd_conns.c
SRCS += src/http/mhd_loop.c
SRCS += src/http/mhd_request.c
