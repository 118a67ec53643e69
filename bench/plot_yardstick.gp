# Plots bench/results/yardstick.md: the value earned relative to the ideal, by
# load and scheduler.
set terminal svg size 1200,560 font "sans,11" background "white"
set output "bench/results/yardstick.svg"
set datafile separator "|"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8
set yrange [0.7:1.02]
set grid ytics
set ylabel "value earned / ideal"
set xtics rotate by -30 scale 0
set key bottom left horizontal
set title "Value earned relative to a central queue that knows all run times"
rows(scheduler) = sprintf("< grep '| %s |' bench/results/yardstick.md", scheduler)
plot rows("one entry") using 6:xtic(2) title "one entry, no message delay", \
	rows("entries") using 6:xtic(2) title "several entries, as deployed", \
	rows("first come, random") using 6:xtic(2) title "first come first served, random target"
