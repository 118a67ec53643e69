# From a file of jobs: how the tasks ended, by the first request's answer.
{
	match($0, /"run_ms":\[[^]]*/)
	run_ms = substr($0, RSTART, RLENGTH)
	tasks += gsub(/,/, "", run_ms) + 1
	answer = substr($0, index($0, "\"sends\":["))
	answer = substr(answer, 1, index(answer, "]}"))
	gsub(/"state":"[a-z]*",/, "", answer)
	may += gsub(/"may_have_run"/, "", answer)
	failed += gsub(/"failed"[],]/, "", answer)
	not_run += gsub(/"not_run"[],]/, "", answer)
}
END {
	printf ",\"may_have_run\":%.0f,\"failed\":%.0f", may, failed
	printf ",\"not_run\":%.0f,\"tasks\":%.0f", not_run, tasks
}
