# Prints the jobs of a file that arrived at FROM microseconds or later.
{
	match($0, /"arrived_us":[0-9]+/)
	if (substr($0, RSTART + 13, RLENGTH - 13) + 0 >= from)
		print
}
