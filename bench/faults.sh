# Runs callers against a fleet under a seeded schedule of faults and checks the recorded history against the guarantees.
# Options: --seed N, --minutes M (default 1), --json FILE, --quick for 15 seconds.
source bench/common.inc
seconds=$((quick ? 15 : ${minutes:-1} * 60))
history_dir="$work/history"
mkdir "$history_dir"
RANDOM=$seed
engineCount=3
fleet_log_level=error
bench_relays=1
bench_fleet "$engineCount" 2 --step_us 5000 --step_per_sequence_us 20 --blocks 3000

declare -A port
for name in entry-0 entry-1 sidecar-orders; do port[$name]=$(fleet_field "$name" port); done
for ((i = 0; i < engineCount; ++i)); do
    port[engine-$i]=$(fleet_field "engine-$i" port)
    port[sidecar-engine-$i]=$(fleet_field "sidecar-engine-$i" port)
done

microseconds() { echo $(($(date +%s%N) / 1000)); }
faults=0
# note_fault KIND TARGET MILLISECONDS [BEGIN]: records a fault of this duration in the history. The fault begins at
# BEGIN, in microseconds since the epoch, or now if BEGIN is missing.
note_fault() {
    local now=${4:-$(microseconds)}
    faults=$((faults + 1))
    echo "{\"event\":\"fault\",\"kind\":\"$1\",\"target\":\"$2\",\"time\":$now,\"until\":$((now + $3 * 1000))}" >>"$history_dir/faults.jsonl"
}
control() { curl -sS -o "$work/control.out" -X POST -d "$2" "http://127.0.0.1:$1/control" 2>"$work/control.err" || true; }
# save_timeline NAME: appends the timeline of a daemon to timelines.jsonl. The daemon loses its timeline when it ends.
save_timeline() {
    curl -sS -m 1 "http://127.0.0.1:$(fleet_field "$1" admin)/timeline" >>"$work/timelines.jsonl" 2>/dev/null || true
    echo >>"$work/timelines.jsonl"
}
end_process() {
    local pid
    case "$1" in sidecar-* | entry-*) save_timeline "$1" ;; esac
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
    local pause=$((RANDOM % 5 + 1))
    note_fault "kill_${1%%-*}" "$1" "$((pause * 100))"
    end_process "$1"
    sleep "0.$pause"
    start_again "$1"
}
stop_and_restart() {
    local from until
    note_fault planned_stop "$1" 0
    from=$(microseconds)
    kill -TERM "$(bench_pid "$1")"
    save_timeline "$1"
    wait "$(bench_pid "$1")" || true
    until=$(microseconds)
    echo "{\"event\":\"leaving\",\"server\":\"${1#sidecar-}\",\"time\":$from,\"until\":$until}" >>"$history_dir/leavings.jsonl"
    end_process "$1"
    start_again "$1"
}
# freeze, silence and trouble_store end their fault in the background, so that the next faults can overlap it.
freeze() {
    local pid
    pid=$(bench_pid "$1")
    note_fault "freeze_${1%%-*}" "$1" "$(($2 * 1000))"
    kill -STOP "$pid"
    (sleep "$2"; kill -CONT "$pid" 2>/dev/null || true) &
}
# free TARGET SECONDS: reserves a target for a fault of this duration. Fails if the target is still reserved.
declare -A taken
free() {
    [ "$(date +%s%N)" -ge "${taken[$1]:-0}" ] || return 1
    taken[$1]=$(($(date +%s%N) + $2 * 1000000000))
}
silence() {
    free "relay-$2" 3 || return 0
    note_fault "$1" "$2" 2000
    control "$(fleet_field "relay-$2" control)" "$3"
    (sleep 2; control "$(fleet_field "relay-$2" control)" '{}') &
}
trouble_store() {
    free store 5 || return 0
    note_fault "$1" store 4000
    control "${store#*:}" "$2"
    (sleep 4; control "${store#*:}" '{}') &
}
# drop_streams ENGINE: closes the streams of an engine. Records a fault only if a stream of an unfinished generation was
# closed.
drop_streams() {
    local begin
    begin=$(microseconds)
    control "${port[$1]}" '{"drop_streams":true}'
    grep -q '"cut":[1-9]' "$work/control.out" && note_fault drop_streams "$1" 0 "$begin" || true
}
one_fault() {
    local engine="engine-$((RANDOM % engineCount))" entry="entry-$((RANDOM % 2))"
    case $((RANDOM % 18)) in
    0 | 1) kill_and_restart "sidecar-$engine" ;;
    2) kill_and_restart "$entry" ;;
    3) kill_and_restart "$engine" ;;
    4) freeze "sidecar-$engine" 2 ;;
    5) freeze "$entry" 1 ;;
    6) freeze "$engine" 1 ;;
    7) drop_streams "$engine" ;;
    8) note_fault cross_streams "$engine" 0; control "${port[$engine]}" '{"cross_streams":20}' ;;
    9) silence silent_to_entry "$engine" '{"silent_to_client":true}' ;;
    10) silence silent_to_sidecar "$engine" '{"silent_to_server":true}' ;;
    11) silence silent_both "$engine" '{"silent_to_server":true,"silent_to_client":true}' ;;
    12) note_fault cut_link "$engine" 0; control "$(fleet_field "relay-$engine" control)" '{"cut":true}' ;;
    13) trouble_store store_down '{"down":true}' ;;
    14) trouble_store store_loses '{"lose_answers":0.5}' ;;
    15) trouble_store store_slow '{"delay_ms":300}' ;;
    16) kill_and_restart sidecar-orders ;;
    17) stop_and_restart "sidecar-$engine" ;;
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
        # Injects two faults at the same time.
        drop_streams engine-0
        one_fault
    else
        one_fault
    fi
    record_revisions
    if [ $((RANDOM % 3)) -eq 0 ]; then
        printf '[route work-orders]\npool = orders\npath = /work-orders\ndeadline_ms = %s\n' "$((4000 + RANDOM % 1000))" >"$work/change.ini"
        "$bin/zinniadock" apply --partial --store "$store" "$work/change.ini" >"$work/apply.out" 2>&1 || true
    fi
    sleep "0.$((RANDOM % 3 + 1))"
done
wait "$loadPid"
for name in entry-0 entry-1 sidecar-engine-0 sidecar-engine-1 sidecar-engine-2 sidecar-orders; do save_timeline "$name"; done
sed -i '/^$/d' "$work/timelines.jsonl"
"$bin/zinniadock-load" check-timeline --json "$work/timeline.json" "$history_dir/faults.jsonl" "$work/timelines.jsonl" >/dev/null || true
"$bin/zinniadock-load" check --json "$work/check.json" "$history_dir"/*.jsonl >/dev/null 2>"$work/violations" || true
cat "$work/violations" >&2
{
    echo "faults $faults"
    echo "events $(figure "$work/check.json" events)"
    echo "violations $(figure "$work/check.json" violations)"
    for name in requests whole partial refused unknown wrong_tokens gap_p99_ms stall_p99_ms stall_max_ms; do
        echo "$name $(figure "$work/load.json" "$name")"
    done
    for name in timeline_events timeline_faults_found timeline_effects_before_causes; do
        echo "$name $(figure "$work/timeline.json" "$name")"
    done
    sed -n 's/^ *"\(faults_[a-z_]*\|stall_[a-z_]*_ms\|stall_[a-z_]*_p50_ms\|recovery_[a-z_]*_ms\)": \([-0-9.e+]*\),*$/\1 \2/p' "$work/check.json"
} >"$work/figures"
publish_figures
