# Measures the overhead of the path through entry and sidecar, compared with the same load sent directly to the engines.
# Options: --seed N, --json FILE, --quick for a short run.
source bench/common.inc
streams=500
requests=$((quick ? 1 : 4))
bench_fleet 4 1 --step_us 47000 --step_per_sequence_us 0 --max_batch 1024 --blocks 1000000 --stamp

load() {
    "$bin/zinniadock-load" run --seed "$seed" --callers "$streams" --ramp_ms 2000 --requests "$requests" --tokens 60 "$@" >/dev/null
}
# Each path is run twice, alternately, and all figures are reported, so that a change of the machine's speed is visible.
for round in 1 2; do
    load --target "$engines" --json "$work/direct-$round.json"
    load --target "$entries" --json "$work/through-$round.json" \
        --watch "entry=$(bench_pid entry-0),sidecar=$(bench_pid sidecar-engine-0)"
done
fleet_stop >/dev/null || true

bench_fleet 4 1 --step_us 9000 --step_per_sequence_us 0 --max_batch 1024 --blocks 1000000
"$bin/zinniadock-load" run --seed "$seed" --callers "$streams" --requests "$((quick ? 1 : 3))" --tokens 1000 \
    --target "$entries" --json "$work/saturation.json" \
    --watch "entry=$(bench_pid entry-0),sidecar=$(bench_pid sidecar-engine-0)" >/dev/null
fleet_stop >/dev/null || true

{
    for round in 1 2; do
        direct="$work/direct-$round.json"
        through="$work/through-$round.json"
        echo "round_${round}_added_first_token_p50_ms $(difference "$(figure "$through" path_p50_ms)" "$(figure "$direct" path_p50_ms)")"
        echo "round_${round}_added_first_token_p99_ms $(difference "$(figure "$through" path_p99_ms)" "$(figure "$direct" path_p99_ms)")"
        echo "round_${round}_added_gap_p95_ms $(difference "$(figure "$through" gap_p95_ms)" "$(figure "$direct" gap_p95_ms)")"
        echo "round_${round}_gap_p95_ratio $(ratio "$(figure "$through" gap_p95_ms)" "$(figure "$direct" gap_p95_ms)")"
        echo "round_${round}_whole $(figure "$through" whole)"
        echo "round_${round}_entry_resident_mb $(figure "$through" entry_resident_mb)"
        echo "round_${round}_sidecar_resident_mb $(figure "$through" sidecar_resident_mb)"
    done
    echo "saturation_tokens_per_s $(figure "$work/saturation.json" tokens_per_s)"
    echo "saturation_gap_p95_ms $(figure "$work/saturation.json" gap_p95_ms)"
    echo "saturation_entry_cpu_us_per_token $(figure "$work/saturation.json" entry_cpu_us_per_token)"
    # The measured sidecar carries a quarter of the tokens, so its CPU time per token is multiplied by 4.
    echo "saturation_sidecar_cpu_us_per_token $(awk -v a="$(figure "$work/saturation.json" sidecar_cpu_us_per_token)" 'BEGIN { print 4 * a }')"
    echo "saturation_entry_resident_mb $(figure "$work/saturation.json" entry_resident_mb)"
    echo "saturation_whole $(figure "$work/saturation.json" whole)"
    echo "saturation_wrong_tokens $(figure "$work/saturation.json" wrong_tokens)"
} >"$work/figures"
publish_figures
