# Functions that start a small deployment on loopback; sourced by the demo and the benches.
# Every process listens on a free port, unless one is given, and prints its port as JSON on its standard output.

fleet_pids=()

# fleet_start NAME COMMAND...: starts a process and waits for its ready line.
fleet_start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    local pid=$!
    fleet_pids+=("$pid")
    printf -v "pid_${name//-/_}" '%s' "$pid"
    for _ in $(seq 500); do
        if grep -qs '"ready":true' "$work/$name.out"; then
            return 0
        fi
        if ! kill -0 "$pid" 2>/dev/null; then
            break
        fi
        sleep 0.02
    done
    echo "$name did not start:" >&2
    cat "$work/$name.log" >&2
    return 1
}

# fleet_field NAME KEY: prints a number from the ready line of a process.
fleet_field() {
    sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.out" | head -n 1
}

# fleet_sidecar SERVER KIND BACKEND_PORT DATA_CENTRE [PORT [SETTING...]]: starts the sidecar of a backend server.
fleet_sidecar() {
    local server=$1 kind=$2 backend=$3 dataCentre=$4 port=${5:-0}
    {
        printf '[daemon]\nrole = sidecar\ninstance = sidecar-%s\ndata_centre = %s\nadmin = 127.0.0.1:0\nlog_level = %s\n' \
            "$server" "$dataCentre" "${fleet_log_level:-info}"
        printf '[sidecar]\nserver = %s\nkind = %s\nlisten = 127.0.0.1:%s\nbackend = 127.0.0.1:%s\n' \
            "$server" "$kind" "$port" "$backend"
        shift 5 2>/dev/null || shift $#
        for setting in "$@"; do
            echo "$setting"
        done
    } >"$work/sidecar-$server.ini"
    fleet_start "sidecar-$server" "$bin/zinniadockd" --settings "$work/sidecar-$server.ini"
}

# fleet_entry NAME DATA_CENTRE STORE_PORT [PORT]: starts an entry.
fleet_entry() {
    printf '[daemon]\nrole = entry\ninstance = %s\ndata_centre = %s\nadmin = 127.0.0.1:0\nlog_level = %s\n[store]\nendpoint = 127.0.0.1:%s\n[entry]\nlisten = 127.0.0.1:%s\n' \
        "$1" "$2" "${fleet_log_level:-info}" "$3" "${4:-0}" >"$work/$1.ini"
    fleet_start "$1" "$bin/zinniadockd" --settings "$work/$1.ini"
}

# fleet_stop: stops every process, the newest first, and waits for each; prints each exit code that is not 0.
fleet_stop() {
    local failed=0 index pid code
    for ((index = ${#fleet_pids[@]} - 1; index >= 0; --index)); do
        pid=${fleet_pids[$index]}
        kill -TERM "$pid" 2>/dev/null || true
        code=0
        wait "$pid" 2>/dev/null || code=$?
        if [ "$code" -ne 0 ]; then
            echo "process $pid ended with code $code" >&2
            failed=1
        fi
    done
    fleet_pids=()
    return $failed
}

# fleet_kill: kills every process that still runs, for a script that fails.
fleet_kill() {
    for pid in "${fleet_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
}
