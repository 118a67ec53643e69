# From a file of jobs: "MICROSECONDS" from arrival to the first answer of the
# jobs that arrived from FROM to TO, except those of the customer BUT.
function number(key) {
	if (!match($0, "\"" key "\":[0-9]+"))
		return 0
	return substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3) + 0
}
index($0, "\"customer\":\"" except "\"") {
	next
}
{
	arrived = number("arrived_us")
	answered = number("answered_us")
	if (arrived >= from && arrived < to && answered)
		printf "%.0f\n", answered - arrived
}
