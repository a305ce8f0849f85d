# Simulates overloaded engines with the daemon's decision code and with baselines. Prints the median, lowest and highest
# value of each figure over several seeds.
# Options: --seed N (first seed), --seeds N (number of seeds), --json FILE, --quick for a short run.
source bench/common.inc
"$bin/zinniadock-crowded" --seed "$seed" --seeds "${seeds:-5}" --seconds "$((quick ? 60 : 600))" ${json:+--json "$json"}
