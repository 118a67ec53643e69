# Reads the sorted output of fault-answers.awk, and prints the longest time in
# which a customer got no answer, as members of a JSON object: before the fault
# at fault_us; after it, also with the times at which it began and ended,
# relative to the fault; and the longest that the fault may have caused, which
# is one that began at most SOON_US after it.
function gap(from, to) {
	if (to > fault_us && from < fault_us + SOON_US && to - from > at_fault)
		at_fault = to - from
	if (to <= fault_us) {
		if (to - from > before)
			before = to - from
	} else if (to - from > after) {
		after = to - from
		began = from - fault_us
		ended = to - fault_us
	}
}
BEGIN {
	SOON_US = 1000000
}
$1 != customer {
	customer = $1
	previous = 0
}
{
	if (previous)
		gap(previous, $2)
	if ($3 != "end")
		previous = $2
}
END {
	printf ",\"gap_before_ms\":%.0f", before / 1000
	printf ",\"gap_at_strike_ms\":%.0f", at_fault / 1000
	printf ",\"gap_ms\":%.0f", after / 1000
	printf ",\"gap_from_ms\":%.0f", began / 1000
	printf ",\"gap_to_ms\":%.0f", ended / 1000
}
