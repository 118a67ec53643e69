# The fault matrix: the entry's and the agent's own code in fake time. The
# objects of test/matrix stand in for sockets, the store's client, the HTTP
# threads, tevent and the clock, so they go before the library.

MATRIX_OBJS := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard test/matrix/*.c))) \
	$(B)/test/standin/kv.o $(B)/test/standin/kv_compare.o

$(B)/test-matrix: $(MATRIX_OBJS) $(B)/libhspoke.a
	@echo "  LD $@"
	@$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

matrix: $(B)/test-matrix
	$(B)/test-matrix --mutants
	$(B)/test-matrix

.PHONY: matrix
