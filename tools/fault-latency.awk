# Reads a file of jobs, prints the microseconds from arrival to the first answer
# of each job that arrived between the times FROM and TO, except those of the
# customer EXCEPT.
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
