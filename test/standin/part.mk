STANDINS += $(B)/standin-store
STANDIN_STORE_OBJS := $(addprefix $(B)/test/standin/,kv.o kv_compare.o \
	gateway.o jsonpb.o store_server.o store_watch.o store_control.o)

$(B)/standin-store: $(B)/test/standin/store.o $(STANDIN_STORE_OBJS)
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

$(addprefix $(B)/test/test_,kv curl_loop store_client claims admin): \
	$(STANDIN_STORE_OBJS)

STANDINS += $(B)/standin-target
STANDIN_TARGET_OBJS := $(B)/test/standin/target_server.o

$(B)/standin-target: $(B)/test/standin/target.o $(STANDIN_TARGET_OBJS) \
		$(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

$(B)/test/test_agent: $(STANDIN_TARGET_OBJS) $(B)/test/standin/fake_entry.o

STANDINS += $(B)/standin-platform-store $(B)/standin-platform-target

$(B)/standin-platform-store: $(addprefix $(B)/test/standin/,platform_store.o \
		http.o kv.o kv_compare.o) $(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

$(B)/standin-platform-target: $(addprefix $(B)/test/,standin/platform_target.o \
		standin/platform_target_calls.o standin/platform_target_wire.o \
		standin/http.o target_model.o) $(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)
