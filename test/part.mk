# Objects and programs that test programs need in addition.
$(B)/test/test_owner $(B)/test/test_owner_crashes $(B)/test/test_owner_faults $(B)/test/test_retention $(B)/test/test_takeover $(B)/test/test_handover $(B)/test/test_partition_view $(B)/test/test_hostile: $(B)/test/owner_fixture.o
$(B)/test/test_direct_jobs $(B)/test/test_direct_jobs_crash $(B)/test/test_direct_evacuations: $(B)/test/jobs_fixture.o
$(B)/test/test_direct_runs $(B)/test/test_direct_runs_lease $(B)/test/test_direct_runs_random: $(B)/test/target_model.o
$(B)/test/test_store_client: $(B)/test/soak/proxy.o
$(B)/test/test_body_memory: $(B)/test/crowd.o
$(B)/test/test_direct_path $(B)/test/test_body_memory: $(B)/test/platform_cluster.o | $(BIN) $(B)/standin-platform-store $(B)/standin-platform-target
$(B)/test/test_direct_evacuation_path: $(B)/test/platform_cluster.o | $(BIN) $(B)/standin-platform-store $(B)/standin-platform-target
$(B)/test/test_direct_silence: $(B)/test/platform_cluster.o $(B)/test/soak/proxy.o \
	| $(BIN) $(B)/standin-platform-store $(B)/standin-platform-target
$(B)/test/test_direct_load $(B)/test/test_direct_load_uneven: $(addprefix $(B)/test/load_,world.o jobs.o \
	effects.o messages.o crashes.o) $(B)/test/target_model.o $(B)/bench/queue_model.o
$(B)/test/test_entry_crowd: $(addprefix $(B)/test/,crowd.o entry_cluster.o platform_cluster.o) \
	| $(BIN) $(B)/standin-store $(B)/standin-target
