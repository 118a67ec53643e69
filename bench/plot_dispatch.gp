# Plots bench/results/dispatch.md: the ratio of p99 to the ideal, by scenario and
# rule.
set terminal svg size 1200,560 font "sans,11" background "white"
set output "bench/results/dispatch.svg"
set datafile separator "|"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8
set logscale y
set yrange [0.3:200]
set grid ytics
set ylabel "p99 / ideal p99"
set xtics rotate by -30 scale 0
set key top left horizontal
set title "p99 response time relative to the ideal (one central queue, no message delay)"
rule(name) = sprintf("< grep '| %s |' bench/results/dispatch.md", name)
plot for [name in "random round_robin two_choices least_outstanding credits"] \
	rule(system("echo ".name." | tr _ ' '")) \
	using 8:xtic(2) title system("echo ".name." | tr _ ' '")
