# Reads a file of jobs, prints the number of tasks by outcome, as members of a
# JSON object. The outcomes are those in the answer to the first request.
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
