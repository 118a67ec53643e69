# Prints the results of the scenarios, one line of JSON each, as table rows.
function value(key) {
	if (!match($0, "\"" key "\":[^,}]*"))
		return "-"
	return substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
}
{
	name = value("name")
	verdict = value("verdict")
	gsub(/"/, "", name)
	gsub(/"/, "", verdict)
	printf "%-22s %-7s %7s %7s %7s %7s %6s %6s %7s %6s %6s %6s\n", name, verdict, \
	    value("gap_at_strike_ms"), value("gap_ms"), \
	    value("gap_from_ms"), value("gap_to_ms"), \
	    value("may_have_run"), value("failed"), value("wasted_per_task"), \
	    value("last_start_ms"), value("response_over_ideal_p50"), \
	    value("response_over_ideal_p99")
}
