#!/usr/bin/env bash
# Runs a small mesh of Scambiotech's deployment (examples/scambiotech.ini) on loopback and exercises it: three failure
# domains with one control host each, seven nodes with stand-in upstreams. Builds the programs first. Exits with 0 only
# if every step gave what it should.
# MESH_KEEP=1 keeps the folder with settings, logs and event files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build" --target yuccagrade yuccagraded testupstream > /dev/null

umask 077
folder=$(mktemp -d)
program=$build/apps/yuccagrade/yuccagrade
daemon=$build/apps/yuccagraded/yuccagraded
upstream=$build/tests/support/testupstream
failures=0
declare -A pid ip peer operator caller
controls=(milano-c1 bergamo-c1 brescia-c1)
# Node id and the service of the upstream on its host.
declare -A service=(
    [milano-n1]=status [milano-n2]=activation
    [bergamo-n1]=status [bergamo-n2]=history
    [brescia-n1]=activation [brescia-n2]=history [brescia-n3]=photo-archive
)
nodes=(milano-n1 milano-n2 bergamo-n1 bergamo-n2 brescia-n1 brescia-n2 brescia-n3)

stop_all() {
    for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" && { wait "${pid[$name]}"; }; done 2> /dev/null
    if [ "${MESH_KEEP:-}" = 1 ]; then echo "Files are kept in $folder"; else rm -rf "$folder"; fi
}
trap stop_all EXIT

step() { printf '\n== %s\n' "$*"; }
note() { printf '   %s\n' "$*"; }

# expect WHAT ACTUAL EXPECTED
expect() {
    if [ "$2" = "$3" ]; then
        note "ok: $1: $2"
    else
        note "FAILED: $1: got '$2', expected '$3'"
        failures=$((failures + 1))
    fi
}

# wait_for SECONDS COMMAND...: polls until the command succeeds; fails after the bound.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        if [ $SECONDS -ge $end ]; then return 1; fi
        sleep 0.1
    done
}

# Each host has its own loopback IP number, in a block chosen by the process id (as in tests/support/address.cpp).
next_ip=$((65536 + $$ % 8000 * 2000))
new_ip() {
    next_ip=$((next_ip + 1))
    new_ip_result=127.$((next_ip >> 16)).$((next_ip >> 8 & 255)).$((next_ip & 255))
}

# A port is free if a connection to it is refused. The range lies below that of outgoing connections.
free_address() {
    local port
    while :; do
        port=$((20000 + RANDOM % 12000))
        if [[ " ${used_ports:-} " != *" $port "* ]] && ! (exec 3<> "/dev/tcp/$1/$port") 2> /dev/null; then break; fi
    done
    used_ports="${used_ports:-} $port"
    free_address_result=$1:$port
}

write_settings() {
    local id=$1 file=$folder/$1.ini name list=
    {
        echo "id = $id"
        echo "domain = ${id%%-*}"
        echo "region = lombardia"
        echo "peer-address = ${peer[$id]}"
        echo "operator-address = ${operator[$id]}"
        echo "cluster-secret-file = $folder/cluster-secret"
        echo "operator-secret-file = $folder/operator-secret"
        echo "event-file = $folder/$id.events"
        for name in "${controls[@]}"; do list+="${list:+, }${peer[$name]}"; done
        echo "seeds = $list"
        if [ -n "${service[$id]:-}" ]; then
            echo "role = node"
            echo "caller-address = ${caller[$id]}"
        else
            echo "role = control"
            list=
            for name in "${controls[@]}"; do list+="${list:+, }$name=${peer[$name]}"; done
            echo "members = $list"
            echo "data-folder = $folder/$id.data"
        fi
    } > "$file"
}

start_daemon() {
    "$daemon" --settings "$folder/$1.ini" >> "$folder/$1.log" 2>&1 &
    pid[$1]=$!
}

start_upstream() {
    local id=$1 nested=()
    # A status read asks the history service through its own node; the answer holds both.
    if [ "${service[$id]}" = status ]; then nested=(--nested "GET /internal/history/17"); fi
    free_address "${ip[$id]}"
    "$upstream" --service "${service[$id]}" --listen "$free_address_result" --node "${caller[$id]}" --slots 20 --connections 200 \
        --service-ms 2 "${nested[@]}" >> "$folder/$id.upstream.log" 2>&1 &
    pid[$id.upstream]=$!
}

yuccagrade() {
    local subcommand=("$1")
    shift
    if [ "${subcommand[0]}" = key ]; then
        subcommand+=("$1")
        shift
    fi
    "$program" "${subcommand[@]}" "$@" "${control_options[@]}" --secret-file "$folder/operator-secret"
}

# call NODE METHOD PATH [curl options]: puts the status into $status; body and headers go to files.
call() {
    local node=$1 method=$2 path=$3
    shift 3
    status=$(curl -sS -m 5 -X "$method" -o "$folder/body" -D "$folder/headers" -w '%{http_code}' "$@" "http://${caller[$node]}$path" 2> /dev/null) || true
}

outcome() { sed -n 's/^yuccagrade-outcome: *\([a-z-]*\).*/\1/Ip' "$folder/headers"; }
bearer() { printf 'Authorization: Bearer %s' "$key"; }
serves() {
    call "$1" GET /status/17 -H "$(bearer)"
    [ "$status" = 200 ]
}
leader() { yuccagrade status --timeout-s 5 2> /dev/null | sed -n 's/^leader \([^,]*\),.*/\1/p'; }
has_other_leader() {
    local now
    now=$(leader)
    [ -n "$now" ] && [ "$now" != "$1" ]
}
processes_up() { yuccagrade status 2> /dev/null | grep -c '  up$' || true; }
all_up() { [ "$(processes_up)" = "$1" ]; }
# An answer "not-run" allows to send the same action again; the claim replicas may still be forming their groups.
activates() {
    call "$1" POST /activations -H "$(bearer)" -H "Idempotency-Key: $2" -d 'heater 5 on'
    [ "$status" = 200 ] || [ "$(outcome)" != not-run ]
}
has_ended() { ! kill -0 "$1" 2> /dev/null; }

step "Settings: 3 failure domains, 3 control hosts, ${#nodes[@]} nodes, each host with its own loopback IP number"
for secret in cluster-secret operator-secret; do head -c 32 /dev/urandom | base64 > "$folder/$secret"; done
for id in "${controls[@]}" "${nodes[@]}"; do
    new_ip
    ip[$id]=$new_ip_result
    free_address "${ip[$id]}"
    peer[$id]=$free_address_result
    free_address "${ip[$id]}"
    operator[$id]=$free_address_result
    free_address "${ip[$id]}"
    caller[$id]=$free_address_result
done
control_options=()
for id in "${controls[@]}"; do
    mkdir "$folder/$id.data"
    control_options+=(--control "${operator[$id]}")
done
for id in "${controls[@]}" "${nodes[@]}"; do write_settings "$id"; done
note "settings, secrets and event files are in $folder"

step "Start: yuccagraded --settings FILE on every host, and a stand-in upstream beside every node"
for id in "${controls[@]}" "${nodes[@]}"; do start_daemon "$id"; done
for id in "${nodes[@]}"; do start_upstream "$id"; done
note "the control hosts elect a leader; each upstream announces itself to its node every second"

step "Manifest: yuccagrade apply examples/scambiotech.ini"
code=0
yuccagrade apply examples/scambiotech.ini --timeout-s 30 2>&1 | sed 's/^/   /' || code=$?
expect "exit code of apply" "$code" 0

step "Key: yuccagrade key give rete-nord"
key=$(yuccagrade key give rete-nord 2> /dev/null) || true
key_id=${key#ygk_}
key_id=${key_id%%.*}
expect "start of the key" "${key:0:4}" ygk_
note "key id $key_id; only a hash of the key is stored"
note "a node learns of the key with its next sync, within about 1.2 s"
serving=0
for id in "${nodes[@]}"; do
    if wait_for 20 serves "$id"; then serving=$((serving + 1)); fi
done
expect "nodes that accept the key of ${#nodes[@]}" "$serving" "${#nodes[@]}"

step "Status read through two nodes: asked at brescia-n2, whose own upstream serves history"
call brescia-n2 GET /status/17 -H "$(bearer)"
expect "GET /status/17" "$status" 200
note "$(cat "$folder/body")"
expect "upstream that answered" "$(grep -o '"service":"status"' "$folder/body")" '"service":"status"'

step "Nested call: the status upstream asked history through its node, with Yuccagrade-Context and without a key"
expect "answer of history inside the answer" "$(grep -o '"service":"history"' "$folder/body")" '"service":"history"'
call brescia-n2 GET /internal/history/17 -H "$(bearer)"
expect "the same internal route asked by a caller" "$status" 404

step "Activation: POST /activations with Idempotency-Key, then the same again at another node"
wait_for 20 activates milano-n1 heater-5-night-1 || true
expect "first activation" "$status" 200
call bergamo-n2 POST /activations -H "$(bearer)" -H 'Idempotency-Key: heater-5-night-1' -d 'heater 5 on'
expect "repetition" "$status" 409
note "$(cat "$folder/body")"
call bergamo-n2 POST /activations -H "$(bearer)" -d 'heater 5 on'
expect "without Idempotency-Key" "$status" 400

step "Status: yuccagrade status"
processes=$((${#controls[@]} + ${#nodes[@]}))
wait_for 10 all_up "$processes" || true
yuccagrade status | sed 's/^/   /'
expect "processes up" "$(processes_up)" "$processes"

step "Loss of the control leader: kill -KILL, calls go on while the others elect a new one"
first=$(leader)
kill -KILL "${pid[$first]}"
{ wait "${pid[$first]}"; } 2> /dev/null || true
note "killed $first"
served=0
for round in 1 2 3 4 5 6 7 8 9 10; do
    for id in "${nodes[@]}"; do
        if serves "$id"; then served=$((served + 1)); else note "$id answered $status: $(cat "$folder/body")"; fi
    done
    sleep 0.3
done
expect "status reads served of $((10 * ${#nodes[@]})) at all nodes" "$served" "$((10 * ${#nodes[@]}))"
if wait_for 15 has_other_leader "$first"; then second=$(leader); else second=none; fi
expect "another host leads" "$([ "$second" != none ] && echo yes)" yes
note "$second leads now"

step "Return of $first: it reads its log from disk and catches up"
start_daemon "$first"
expect "all processes up" "$(wait_for 20 all_up "$processes" && echo yes)" yes

step "Withdrawal: yuccagrade key withdraw $key_id"
code=0
yuccagrade key withdraw "$key_id" 2>&1 | sed 's/^/   /' || code=$?
expect "exit code of key withdraw" "$code" 0
refused=0
for id in "${nodes[@]}"; do
    call "$id" GET /status/17 -H "$(bearer)"
    if [ "$status" = 401 ]; then refused=$((refused + 1)); fi
done
expect "nodes that answer 401 of ${#nodes[@]}" "$refused" "${#nodes[@]}"
note "$(cat "$folder/body")"

step "Graceful stop: SIGTERM to every process, nodes first"
for id in "${nodes[@]}" "${controls[@]}"; do kill -TERM "${pid[$id]}"; done
graceful=0
for id in "${nodes[@]}" "${controls[@]}"; do
    code=0
    if wait_for 20 has_ended "${pid[$id]}"; then wait "${pid[$id]}" || code=$?; else code="none, still running"; fi
    if [ "$code" = 0 ]; then
        graceful=$((graceful + 1))
        unset "pid[$id]"
    else
        note "$id: exit code $code"
    fi
done
expect "processes that drained and ended with 0 of $processes" "$graceful" "$processes"
for id in "${nodes[@]}"; do
    kill -TERM "${pid[$id.upstream]}"
    wait "${pid[$id.upstream]}" || true
    unset "pid[$id.upstream]"
done

step "Timeline: yuccagrade timeline over all event files"
"$program" timeline "$folder"/*.events > "$folder/timeline" 2> "$folder/timeline.findings" || true
note "$(wc -l < "$folder/timeline") events of $(ls "$folder"/*.events | wc -l) processes; of these, leaders, manifest and key:"
grep -E 'leader-elected|manifest-accepted|manifest-in-force|key-given|key-withdrawn|withdrawal-in-force' "$folder/timeline" > "$folder/excerpt" || true
sed 's/^/   /' "$folder/excerpt"
order=$(grep -oE 'manifest-accepted|key-given|key-withdrawn|withdrawal-in-force' "$folder/excerpt" | awk '!seen[$0]++' | paste -sd ' ')
expect "order" "$order" "manifest-accepted key-given key-withdrawn withdrawal-in-force"

step "Result"
if [ "$failures" -gt 0 ]; then
    note "$failures checks failed"
    exit 1
fi
note "every step gave what it should"
