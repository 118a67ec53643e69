# From sorted answers: the longest time without one for any customer, before
# and after the strike; of the latter also when it began and ended. Apart from
# those, the longest that a strike may have caused: it began before SOON.
function gap(from, to) {
	if (to > strike && from < strike + SOON && to - from > struck)
		struck = to - from
	if (to <= strike) {
		if (to - from > before)
			before = to - from
	} else if (to - from > after) {
		after = to - from
		begun = from - strike
		ended = to - strike
	}
}
BEGIN {
	SOON = 1000000
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
	printf ",\"gap_at_strike_ms\":%.0f", struck / 1000
	printf ",\"gap_ms\":%.0f", after / 1000
	printf ",\"gap_from_ms\":%.0f", begun / 1000
	printf ",\"gap_to_ms\":%.0f", ended / 1000
}
