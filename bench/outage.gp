# Draws docs/bench/outage.svg from outage.tsv (bench/outage_worth.cpp): gnuplot bench/outage.gp
set terminal svg size 900,420 background rgb 'white' font 'sans,12'
set output 'docs/bench/outage.svg'
set datafile separator '\t'
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.9
set grid ytics lc rgb '#dddddd'
set border 3
set tics nomirror
set key outside top center horizontal
set multiplot layout 1,2
set xlabel 'age of the list, 5% of it changed'
set title 'Worth delivered in the hour'
set yrange [0:1]
set ylabel 'share of the worth offered'
plot "<awk -F'\t' '$2==0.05 && $3==\"trust\"' outage.tsv" using 7:xtic(1) title 'trust by age' lc rgb '#2a6f97', \
     "<awk -F'\t' '$2==0.05 && $3==\"always\"' outage.tsv" using 7 title 'always trust' lc rgb '#e09f3e', \
     "<awk -F'\t' '$2==0.05 && $3==\"never\"' outage.tsv" using 7 title 'never trust' lc rgb '#9e2a2b'
set title 'Charges run at a wrong endpoint'
set yrange [0:*]
set ylabel 'calls, five hours together'
plot "<awk -F'\t' '$2==0.05 && $3==\"trust\"' outage.tsv" using 10:xtic(1) title 'trust by age' lc rgb '#2a6f97', \
     "<awk -F'\t' '$2==0.05 && $3==\"always\"' outage.tsv" using 10 title 'always trust' lc rgb '#e09f3e', \
     "<awk -F'\t' '$2==0.05 && $3==\"never\"' outage.tsv" using 10 title 'never trust' lc rgb '#9e2a2b'
unset multiplot
