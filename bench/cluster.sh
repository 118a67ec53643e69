# Sourced by the benchmarks. Starts a store, entries and agents on loopback and
# stops them by their process ids. Sets the addresses of the entries in rpc, http
# and admin, and their process ids in pids.

key=customer-key-0001
cluster_key=0123456789abcdef0123
admin_token=admin-token-0123456789
base_port=${BENCH_PORT:-23100}
store=127.0.0.1:$base_port
customers=nadroga,corrib
work_dir=$(mktemp -d)
pids_to_stop=""

# end_process SIGNAL PID: sends a signal to a process and waits for its end.
end_process() {
	kill "-$1" "$2" 2>/dev/null
	wait "$2" 2>/dev/null
}

stop_all() {
	for pid in $pids_to_stop; do kill -TERM "$pid" 2>/dev/null; done
	sleep 0.5
	for pid in $pids_to_stop; do end_process KILL "$pid"; done
	pids_to_stop=""
}

# store_put KEY VALUE: writes one key of the store.
store_put() {
	curl -s -o /dev/null "http://$store/v3/kv/txn" -d "{\"compare\":[],
\"success\":[{\"request_put\":{\"key\":\"$(printf %s "$1" | base64 -w0)\",
\"value\":\"$(printf %s "$2" | base64 -w0)\"}}],\"failure\":[]}"
}

# start_cluster ENTRIES THREADS: starts a store, writes plans and allowances to
# it, and starts the entries.
start_cluster() {
	rpc="" http="" admin="" pids="" n=1
	"$build/standin-store" --listen "$store" >"$work_dir/store.log" 2>&1 &
	pids_to_stop="$pids_to_stop $!"
	sleep 0.3
	hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
	for customer in $(echo "$customers" | tr , ' '); do
		store_put "hs/plan/$customer" "{\"plan\":\"p\",\"key_hash\":\"$hash\"}"
	done
	store_put hs/allowance/p '{"in_flight":100000,"starts_per_s":1000000,
"burst":100000,"queued":100000,"tasks_per_job":390,"memory_mb":4096,
"accelerators":8,"weight":10}'
	while [ "$n" -le "$1" ]; do
		start_entry "$n" "$2"
		pids="$pids${pids:+,}$!"
		rpc="$rpc${rpc:+,}127.0.0.1:$((base_port + 200 + n))"
		http="$http${http:+,}127.0.0.1:$((base_port + 100 + n))"
		admin="$admin${admin:+,}127.0.0.1:$((base_port + 150 + n))"
		n=$((n + 1))
	done
	sleep 1
}

# start_entry N THREADS: starts one entry.
start_entry() {
	cat >"$work_dir/entry$1.json" <<JSON
{"role":"entry","data_centre":"dc$1","cluster_key":"$cluster_key",
 "log":{"level":"info"},
 "entry":{"name":"entry$1","http_listen":"127.0.0.1:$((base_port + 100 + $1))",
  "admin_listen":"127.0.0.1:$((base_port + 150 + $1))","threads":$2,
  "rpc_listen":"127.0.0.1:$((base_port + 200 + $1))",
  "admin_token":"$admin_token","store":["http://$store"]}}
JSON
	"$build/hibiscusspoke" entry --settings "$work_dir/entry$1.json" \
		>"$work_dir/entry$1.log" 2>&1 &
	pids_to_stop="$pids_to_stop $!"
}

# start_agent N SLOTS TARGET-OPTION...: starts an agent and its target.
start_agent() {
	number=$1 slots=$2
	shift 2
	cat >"$work_dir/agent$number.json" <<JSON
{"role":"agent","data_centre":"dc$((number % 3))",
 "cluster_key":"$cluster_key",
 "agent":{"name":"agent$number","rack":"r$((number / 3))",
  "target_listen":"127.0.0.1:$((base_port + 300 + number))",
  "rpc_listen":"127.0.0.1:$((base_port + 400 + number))",
  "entries":["$(echo "$rpc" | sed 's/,/","/g')"]}}
JSON
	"$build/hibiscusspoke" agent --settings "$work_dir/agent$number.json" \
		>"$work_dir/agent$number.log" 2>&1 &
	agent_pid=$!
	pids_to_stop="$pids_to_stop $!"
	"$build/standin-target" --agent "127.0.0.1:$((base_port + 300 + number))" \
		--key "$cluster_key" --slots "$slots" "$@" \
		>"$work_dir/target$number.log" 2>&1 &
	pids_to_stop="$pids_to_stop $!"
}

# store_calls: prints the number of calls that the store has answered so far.
store_calls() {
	curl -s "http://$store/calls" | tr ',{}' '\n\n\n' |
		awk -F: '!/waiting_watches|revision/ {n += $2} END {print n + 0}'
}

# print_results COMMIT LINES: prints the JSON document for bench/results; LINES is
# a file with one JSON object per line.
print_results() {
	printf '{"commit":"%s","machine":{"cores":%s,"memory_gb":%s,"cpu":"%s"},\n' \
		"$1" "$(nproc)" \
		"$(awk '/MemTotal/ {print int($2 / 1048576)}' /proc/meminfo)" \
		"$(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -1)"
	printf '"runs":[\n'
	sed '$!s/$/,/' "$2"
	printf ']}\n'
}
