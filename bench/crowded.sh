# Simulates crowded engines under the daemon's decision code and under baselines: median, lowest and highest value over
# several seeds.
# Options: --seed N (the first), --seeds N, --json FILE, --quick for a short run.
source bench/common.inc
"$bin/zinniadock-crowded" --seed "$seed" --seeds "${seeds:-5}" --seconds "$((quick ? 60 : 600))" ${json:+--json "$json"}
