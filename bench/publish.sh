# Measures the time until a configuration change is active at 2 entries and 14 sidecars, and at many followers in one
# process. Also lets concurrent operators publish changes to a store with outages and lost responses.
# Options: --seed N, --json FILE, --quick for a short run.
set -euo pipefail
source bench/common.inc
publish() {
    local name=$1
    shift
    "$bin/zinniadock-publish" --seed "$seed" --name_prefix "${name}_" "$@" >>"$work/figures"
}
: >"$work/figures"
changes=$((quick ? 20 : 200))
racing=$((quick ? 400 : 10000))

bench_fleet 13 2
publish fleet --store "$store" --store_prefix zinniadock --admin "$admins,127.0.0.1:$(fleet_field sidecar-orders admin)" \
    --changes "$changes" --pause_ms 50
fleet_kill
fleet_pids=()

for count in 50 100 200 400; do
    fleet_start "store-$count" "$bin/zinniadock-standin" store
    publish "followers_$count" --store "127.0.0.1:$(fleet_field "store-$count" port)" --followers "$count" \
        --changes $((quick ? 5 : 30)) --pause_ms 300 --accounts 730 --idle_ms $((quick ? 1000 : 16000))
done

fleet_start store-racing "$bin/zinniadock-standin" store --seed "$seed"
racingStore="127.0.0.1:$(fleet_field store-racing port)"
publish racing --store "$racingStore" --store_control "$racingStore" --followers 16 --operators 8 --changes "$racing"
publish_figures
