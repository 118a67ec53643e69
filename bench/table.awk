# Shows the lines of bench-system as a Markdown table.
function field(key,    at) {
	if (!match($0, "\"" key "\":[^,}]*"))
		return ""
	at = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
	gsub("\"", "", at)
	return at
}
BEGIN {
	n = split("name entries agents starts_per_s p50_ms p99_ms entry_cores " \
		"entry_us_per_start agents_cores bytes_per_start " \
		"inner_bytes_per_s entry_rss_kb", keys, " ")
	for (i = 1; i <= n; i++)
		printf "| %s ", keys[i]
	print "|"
	for (i = 1; i <= n; i++)
		printf "|---"
	print "|"
}
{
	for (i = 1; i <= n; i++)
		printf "| %s ", field(keys[i])
	print "|"
}
