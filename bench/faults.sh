# Callers against a fleet under a seeded schedule of faults; the recorded history is checked against the promises.
# Options: --seed N, --minutes M (default 1), --json FILE, --quick for a quarter of a minute.
source bench/common.inc
seconds=$((quick ? 15 : ${minutes:-1} * 60))
history_dir="$work/history"
mkdir "$history_dir"
RANDOM=$seed
engineCount=3
fleet_log_level=error
bench_fleet "$engineCount" 2 --step_us 5000 --step_per_sequence_us 20 --blocks 3000

declare -A port
for name in entry-0 entry-1 sidecar-orders; do port[$name]=$(fleet_field "$name" port); done
for ((i = 0; i < engineCount; ++i)); do
    port[engine-$i]=$(fleet_field "engine-$i" port)
    port[sidecar-engine-$i]=$(fleet_field "sidecar-engine-$i" port)
done

microseconds() { echo $(($(date +%s%N) / 1000)); }
faults=0
note_fault() {
    faults=$((faults + 1))
    echo "{\"event\":\"fault\",\"kind\":\"$1\",\"target\":\"$2\",\"time\":$(microseconds)}" >>"$history_dir/faults.jsonl"
}
control() { curl -sS -o "$work/control.out" -X POST -d "$2" "http://127.0.0.1:$1/control" 2>"$work/control.err" || true; }
end_process() {
    local pid
    pid=$(bench_pid "$1")
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    local left=() other
    for other in "${fleet_pids[@]}"; do [ "$other" = "$pid" ] || left+=("$other"); done
    fleet_pids=("${left[@]}")
}
start_again() {
    case "$1" in
    sidecar-orders) fleet_sidecar orders service "$(fleet_field orders port)" campina "${port[$1]}" ;;
    sidecar-*) fleet_sidecar "${1#sidecar-}" engine "${port[${1#sidecar-}]}" campina "${port[$1]}" ;;
    entry-*) fleet_entry "$1" campina "${store#*:}" "${port[$1]}" ;;
    engine-*) fleet_start "$1" "$bin/zinniadock-standin" engine --port "${port[$1]}" --seed "$seed" --server "$1" \
        --history "$history_dir/$1.jsonl" --step_us 5000 --step_per_sequence_us 20 --blocks 3000 ;;
    esac
}
kill_and_restart() {
    note_fault kill "$1"
    end_process "$1"
    sleep "0.$((RANDOM % 5 + 1))"
    start_again "$1"
}
freeze() {
    note_fault freeze "$1"
    kill -STOP "$(bench_pid "$1")"
    sleep "$2"
    kill -CONT "$(bench_pid "$1")"
}
one_fault() {
    local engine="engine-$((RANDOM % engineCount))" entry="entry-$((RANDOM % 2))"
    case $((RANDOM % 11)) in
    0 | 1) kill_and_restart "sidecar-$engine" ;;
    2) kill_and_restart "$entry" ;;
    3) kill_and_restart "$engine" ;;
    4) freeze "sidecar-$engine" 2 ;;
    5) freeze "$entry" 1 ;;
    6) freeze "$engine" 1 ;;
    7) note_fault drop_streams "$engine"; control "${port[$engine]}" '{"drop_streams":true}' ;;
    8) note_fault store_down store; control "${store#*:}" '{"down":true}'; sleep 1; control "${store#*:}" '{}' ;;
    9) note_fault store_loses store; control "${store#*:}" '{"lose_answers":0.5}'; sleep 1; control "${store#*:}" '{}' ;;
    10) kill_and_restart sidecar-orders ;;
    esac
}
record_revisions() {
    local name status revision
    for name in entry-0 entry-1 sidecar-engine-0 sidecar-engine-1 sidecar-engine-2; do
        status=$(curl -sS -m 1 "http://127.0.0.1:$(fleet_field "$name" admin)/status" 2>/dev/null) || continue
        revision=$(sed -n 's/^ *"revision": \([0-9]*\),*$/\1/p' <<<"$status" | head -n 1)
        [ -n "$revision" ] && echo "{\"event\":\"revision\",\"instance\":\"$name\",\"incarnation\":\"$(bench_pid "$name")\",\"revision\":$revision,\"time\":$(microseconds)}" >>"$history_dir/revisions.jsonl"
    done
}

"$bin/zinniadock-load" run --seed "$seed" --callers 24 --duration_ms "$((seconds * 1000))" --tokens 300 \
    --target "$entries" --call_path /work-orders --history "$history_dir/callers.jsonl" --json "$work/load.json" >/dev/null &
loadPid=$!
deadline=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$deadline" ]; do
    if [ $((RANDOM % 4)) -eq 0 ]; then
        # Two faults at one time: streams are cut while the other fault is under way.
        note_fault drop_streams engine-0
        (sleep 0.2; control "${port[engine-0]}" '{"drop_streams":true}') &
        one_fault
    else
        one_fault
    fi
    record_revisions
    if [ $((RANDOM % 3)) -eq 0 ]; then
        printf '[route work-orders]\npool = orders\npath = /work-orders\ndeadline_ms = %s\n' "$((4000 + RANDOM % 1000))" >"$work/change.ini"
        "$bin/zinniadock" apply --partial --store "$store" "$work/change.ini" >"$work/apply.out" 2>&1 || true
    fi
    sleep "0.$((RANDOM % 4 + 3))"
done
wait "$loadPid"
"$bin/zinniadock-load" check --json "$work/check.json" "$history_dir"/*.jsonl >/dev/null 2>"$work/violations" || true
cat "$work/violations" >&2
{
    echo "faults $faults"
    echo "events $(figure "$work/check.json" events)"
    echo "violations $(figure "$work/check.json" violations)"
    for name in requests whole partial refused unknown wrong_tokens gap_p99_ms stall_p99_ms stall_max_ms; do
        echo "$name $(figure "$work/load.json" "$name")"
    done
} >"$work/figures"
publish_figures
