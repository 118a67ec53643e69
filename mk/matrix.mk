# The fault matrix: runs the code of the entry and the agent in simulated time.
# The objects of test/matrix replace the sockets, the store client, the HTTP
# threads, tevent and the clock, so they are linked before the library.

MATRIX_OBJS := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard test/matrix/*.c))) \
	$(B)/test/standin/kv.o $(B)/test/standin/kv_compare.o

$(B)/test-matrix: $(MATRIX_OBJS) $(B)/libhspoke.a
	@echo "  LD $@"
	@$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

matrix: $(B)/test-matrix
	$(B)/test-matrix --mutants
	$(B)/test-matrix

.PHONY: matrix
