STANDINS += $(B)/standin-store
STANDIN_STORE_OBJS := $(addprefix $(B)/test/standin/,kv.o gateway.o jsonpb.o \
	store_server.o)
STANDIN_TESTS := $(addprefix $(B)/test/test_,kv store_codec store_client claims)

$(STANDIN_STORE_OBJS) $(B)/test/standin/store.o $(STANDIN_TESTS:%=%.o): \
	CFLAGS += -Itest

$(B)/standin-store: $(B)/test/standin/store.o $(STANDIN_STORE_OBJS)
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

$(STANDIN_TESTS): $(STANDIN_STORE_OBJS)
