SRCS += src/http/curl_loop.c
