# Prints flat JSON objects, one per line, as a Markdown table. The variable
# "columns" lists the fields to print.
function field(key,    text) {
	if (!match($0, "\"" key "\":[^,}]*"))
		return ""
	text = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
	gsub("\"", "", text)
	return text
}
BEGIN {
	if (columns == "")
		columns = "name entries agents starts_per_s p50_ms p99_ms " \
			"entry_cores entry_us_per_start agents_cores " \
			"bytes_per_start inner_bytes_per_s tcp_bytes_per_s " \
			"entry_rss_kb store_calls_per_s"
	n = split(columns, keys, " ")
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
