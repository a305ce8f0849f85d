# Runs entries and sidecars as processes under seeded faults and checks the guarantees from what callers and backend
# servers observe.
# Options: --seed N for one run, or --seeds "A B ..." for one run after another; --minutes M for the duration of each
# run (default 20 seconds); --quick for 8 seconds. The logs of a failed run are moved to soak-logs/SEED.
source bench/common.inc
seconds=$((quick ? 8 : ${minutes:+minutes * 60} + 0))
[ "$seconds" -gt 0 ] || seconds=20
failed=0
for each in ${seeds:-$seed}; do
    log="$work/soak-$each"
    if ! "$bin/zinniadock-soak" --daemon "$bin/zinniadockd" --directory "$log" --seed "$each" --seconds "$seconds"; then
        failed=$((failed + 1))
        mkdir -p soak-logs
        rm -rf "soak-logs/$each"
        mv "$log" "soak-logs/$each"
    fi
done
echo "seeds with violations: $failed"
[ "$failed" -eq 0 ]
