# From sorted answers: the longest time without one for any customer, before
# and after the fault_us; of the latter also when it began and ended. Apart from
# those, the longest that a fault_us may have caused: it began before SOON_US.
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
