# The load generator: hs-load submits jobs and checks every answer.
STANDINS += $(B)/hs-load
LOAD_OBJS := $(addprefix $(B)/test/load/,ideal.o scenario.o answer.o \
	balancer.o client.o report.o verify.o)

$(B)/hs-load: $(B)/test/load/main.o $(LOAD_OBJS) $(B)/libhspoke.a
	$(CC) $(SAN_FLAGS) -pthread -o $@ $^ $(PKG_LIBS)

$(B)/test/test_load_ideal: $(B)/test/load/ideal.o
$(B)/test/test_load_answer: $(B)/test/load/answer.o
$(B)/test/test_load_verify: $(addprefix $(B)/test/load/,verify.o answer.o)
$(B)/test/test_load_balancer: $(B)/test/load/balancer.o
