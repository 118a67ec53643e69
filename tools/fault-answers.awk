# Reads a file of jobs, prints "CUSTOMER MICROSECONDS" for the time of each
# complete answer, and "CUSTOMER MICROSECONDS end" for the last arrival.
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
