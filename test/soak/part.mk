# The soak test; it is built with the stand-ins, which it runs.
STANDINS += $(B)/test/soak-run
SOAK_OBJS := $(addprefix $(B)/test/,soak/main.o soak/proxy.o soak/history.o \
	soak/tally.o soak/evacuation.o soak/stalled.o \
	platform_cluster.o)

$(B)/test/soak-run: $(SOAK_OBJS) $(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)
