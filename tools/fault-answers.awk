# From a file of jobs: "CUSTOMER MICROSECONDS" of each complete answer, and
# the last arrival as "CUSTOMER MICROSECONDS end".
function number(key) {
	if (!match($0, "\"" key "\":[0-9]+"))
		return 0
	return substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
}
{
	match($0, /"customer":"[^"]*"/)
	customer = substr($0, RSTART + 12, RLENGTH - 13)
	last = number("arrived_us")
	seen[customer] = 1
	if (index($0, "\"state\":\"complete\""))
		print customer, number("answered_us")
}
END {
	for (customer in seen)
		print customer, last, "end"
}
