# Measures CPU time, memory, bytes and store calls at several sizes, and fits a line to each. docs/CAPACITY.md uses the
# slopes.
# Options: --seed N, --json FILE.
source bench/common.inc
: >"$work/figures"
note() { echo "$1 $2" >>"$work/figures"; }

# fit NAME X:Y...: adds the points and the slope, intercept and largest residual of their least-squares line to the
# figures.
fit() {
    local name=$1
    shift
    for point in "$@"; do
        note "${name}_at_${point%%:*}" "${point#*:}"
    done
    printf '%s\n' "$@" | awk -F: -v name="$name" '
        { x[NR] = $1; y[NR] = $2; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
        END {
            slope = (NR * sxy - sx * sy) / (NR * sxx - sx * sx); base = (sy - slope * sx) / NR
            for (i = 1; i <= NR; ++i) { r = y[i] - base - slope * x[i]; if (r < 0) r = -r; if (r > worst) worst = r }
            printf "%s_slope %g\n%s_base %g\n%s_worst_residual %g\n", name, slope, name, base, name, worst
        }' >>"$work/figures"
}

# usage NAME: prints the CPU time in microseconds and the resident memory in bytes of a process.
usage() {
    local pid
    pid=$(bench_pid "$1")
    awk -v hz="$(getconf CLK_TCK)" -v page="$(getconf PAGESIZE)" '
        FNR == NR { sub(/.*\) /, ""); split($0, f, " "); cpu = (f[12] + f[13]) * 1000000 / hz; next }
        { print cpu, $2 * page }' "/proc/$pid/stat" "/proc/$pid/statm"
}

# admin_figure NAME KEY: prints the number that a process reports as KEY under /status.
admin_figure() {
    curl -sS "http://127.0.0.1:$(fleet_field "$1" admin)/status" | sed -n "s/^ *\"$2\": \([0-9]*\),*$/\1/p" | head -n 1
}

"$bin/zinniadock-decisions" --seed "$seed" >>"$work/figures"

echo "streams" >&2
bench_fleet 4 1 --step_us 47000 --step_per_sequence_us 0 --max_batch 1024 --blocks 1000000
entryMemory=() sidecarMemory=() entryCores=() sidecarCores=()
for streams in 100 200 400 800; do
    "$bin/zinniadock-load" run --seed "$seed" --callers "$streams" --ramp_ms 1000 --requests 1 --tokens 150 \
        --target "$entries" --json "$work/streams.json" \
        --watch "entry=$(bench_pid entry-0),s0=$(bench_pid sidecar-engine-0),s1=$(bench_pid sidecar-engine-1),s2=$(bench_pid sidecar-engine-2),s3=$(bench_pid sidecar-engine-3)" >/dev/null
    entryMemory+=("$streams:$(figure "$work/streams.json" entry_resident_mb)")
    entryCores+=("$(figure "$work/streams.json" tokens_per_s):$(figure "$work/streams.json" entry_cores)")
    sidecarMemory+=("$((streams / 4)):$(awk -v a="$(figure "$work/streams.json" s0_resident_mb)" -v b="$(figure "$work/streams.json" s1_resident_mb)" \
        -v c="$(figure "$work/streams.json" s2_resident_mb)" -v d="$(figure "$work/streams.json" s3_resident_mb)" 'BEGIN { print (a + b + c + d) / 4 }')")
    sidecarCores+=("$(awk -v t="$(figure "$work/streams.json" tokens_per_s)" 'BEGIN { print t / 4 }'):$(awk -v a="$(figure "$work/streams.json" s0_cores)" \
        -v b="$(figure "$work/streams.json" s1_cores)" -v c="$(figure "$work/streams.json" s2_cores)" \
        -v d="$(figure "$work/streams.json" s3_cores)" 'BEGIN { print (a + b + c + d) / 4 }')")
done
fleet_stop >/dev/null || true
fit entry_mb_by_streams "${entryMemory[@]}"
fit sidecar_mb_by_streams "${sidecarMemory[@]}"
fit entry_cores_by_tokens_per_s "${entryCores[@]}"
fit sidecar_cores_by_tokens_per_s "${sidecarCores[@]}"

echo "links" >&2
linkMemory=() linkCpu=() sidecarIdle=() storeCalls=()
for links in 4 8 16 32; do
    bench_fleet "$((links - 1))" 1 --max_batch 4 >/dev/null
    sleep 2
    read -r cpu0 memory0 < <(usage entry-0)
    read -r side0 _ < <(usage sidecar-orders)
    calls0=$(admin_figure entry-0 store_calls)
    sleep 10
    read -r cpu1 memory1 < <(usage entry-0)
    read -r side1 _ < <(usage sidecar-orders)
    calls1=$(admin_figure entry-0 store_calls)
    linkMemory+=("$links:$(awk -v m="$memory1" 'BEGIN { print m / 1e6 }')")
    linkCpu+=("$links:$(awk -v a="$cpu0" -v b="$cpu1" 'BEGIN { print (b - a) / 1e7 }')")
    sidecarIdle+=("$links:$(awk -v a="$side0" -v b="$side1" 'BEGIN { print (b - a) / 1e7 }')")
    storeCalls+=("$links:$(((calls1 - calls0) * 6))")
    fleet_stop >/dev/null || true
done
fit entry_mb_by_links "${linkMemory[@]}"
fit entry_idle_cores_by_links "${linkCpu[@]}"
fit sidecar_idle_cores_by_fleet "${sidecarIdle[@]}"
fit entry_store_calls_per_idle_minute_by_links "${storeCalls[@]}"
publish_figures
