# Functions that run the whole path on loopback for scripts that source this
# file from the root of the tree. Ends what it started when the script exits;
# KEEP_LOGS=DIR copies settings, logs and accounts there before.

bin=$PWD/build/bin
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ -z "${KEEP_LOGS:-}" ] || cp -r "$work" "$KEEP_LOGS"
  rm -rf "$work"
}
trap stop_all EXIT

say() { printf '%s\n' "$*"; }
fail() {
  say "FAILED: $*"
  for log in "$work"/*.err; do
    [ ! -s "$log" ] || { say "--- ${log##*/}"; tail -n 20 "$log"; }
  done
  exit 1
}
# field FILE NAME: prints a number of a one-line JSON account.
field() { sed -E "s/.*\"$2\":([0-9]+).*/\1/" "$1"; }

addresses=()
admin=()
ctl() { "$bin/rosemaryreachctl" "$@"; }
return_address=127.0.3.1:9000

# seeds: prints the control endpoints of set_instances as JSON strings.
seeds() {
  local list
  list=$(printf '"%s:7100", ' "${addresses[@]}")
  printf '%s' "${list%, }"
}

# start_instance NAME DATA_CENTRE ADDRESS: sets last_pid.
start_instance() {
  cat >"$work/$1.json" <<JSON
{
  "instance": "$1",
  "data_centre": "$2",
  "region": "local",
  "address": "$3",
  "listeners": {
    "packet_port": 7000, "packet_workers": 2, "detour_port": 7010,
    "control_port": 7100, "grpc_port": 7101, "peer_request_port": 7102,
    "answer_next_hop": "$return_address",
    "requests": ["$3:8081", "$3:8082"],
    "admin": "$3:7200"
  },
  "platform": {"directory": "$work/platform", "poll_ms": 100},
  "seeds": [$(seeds)],
  "key_files": ["$work/key"],
  "log": {"decision_sample": 1},
  "stop_timeout_ms": 10000
}
JSON
  "$bin/rosemaryreachd" --settings "$work/$1.json" \
    >>"$work/$1.log" 2>>"$work/$1.err" &
  last_pid=$!
  pids+=("$last_pid")
}

# set_instances ADDRESS...: the instances that are seeds of each other and that
# publish() waits for.
set_instances() {
  addresses=("$@")
  admin=()
  for address in "$@"; do admin+=(--admin "$address:7200"); done
}

# publish NUMBER PATCH_ARGUMENT...: publishes a patch as the next entry and
# waits until all instances have the number.
publish() {
  local number=$1
  shift
  ctl --log "$work/platform" --author quickstart patch new "$@" \
    >"$work/patch.json"
  ctl --log "$work/platform" --base $((number - 1)) patch check \
    "$work/patch.json" >/dev/null || fail "patch $* was refused"
  mv "$work/patch.json" "$work/platform/entries/$number.json"
  ctl "${admin[@]}" wait --number "$number" >/dev/null ||
    fail "number $number is not in force"
}

# start_platform: a directory with the examples' configuration, and a key.
start_platform() {
  mkdir -p "$work/platform/entries"
  (umask 077 && head -c 48 /dev/urandom | base64 >"$work/key")
  ctl snapshot new "$work/platform" 1 examples/quickstart/configuration.json \
    >/dev/null
}

# start_packet_targets: sets targets_pid.
start_packet_targets() {
  "$bin/packet_target" --reply-to "$return_address" \
    pot-view-a1=127.0.1.1:6635 pot-view-a2=127.0.1.2:6635 \
    pot-view-b1=127.0.1.3:6635 pot-view-b2=127.0.1.4:6635 \
    pot-view-c1=127.0.1.5:6635 pot-view-c2=127.0.1.6:6635 \
    fee-documents-a1=127.0.1.7:6635 fee-documents-b1=127.0.1.8:6635 \
    fee-documents-c1=127.0.1.9:6635 >"$work/targets.json" &
  targets_pid=$!
  pids+=("$targets_pid")
}

# start_packet_callers FLOWS PER_SECOND SECONDS ADDRESS...: callers that use the
# instances at the addresses; sets callers_pid.
start_packet_callers() {
  local flows=$1 per_second=$2 seconds=$3
  shift 3
  local instances=()
  for address in "$@"; do instances+=(--instance "$address:7000"); done
  "$bin/packet_caller" --return "$return_address" "${instances[@]}" \
    --service 10.20.0.1:443=pot-view --service 10.20.0.2:443=fee-documents \
    --flows "$flows" --per-second "$per_second" --seconds "$seconds" \
    >"$work/callers.json" &
  callers_pid=$!
  pids+=("$callers_pid")
}

# finish_packets: waits for the callers, stops the targets, shows the account.
# Sets resets to the connections that were reset, by target.
finish_packets() {
  wait "$callers_pid" || fail "the callers did not finish"
  kill "$targets_pid"
  wait "$targets_pid" || fail "the targets did not finish"
  local account=$work/callers.json
  ctl "${admin[@]}" --json status >"$work/status.json" || true
  say "   flows $(field "$account" flows), answers $(field "$account" answers)," \
    "repeated segments $(field "$account" retransmits)"
  say "   answers of a wrong target $(field "$account" wrong_target)," \
    "of a wrong service $(field "$account" wrong_service)," \
    "silent flows $(field "$account" silent)"
  resets=$(sed -E 's/.*"resets_by_target":\{([^}]*)\}.*/\1/' "$account")
  [ "$(field "$account" wrong_target)" = 0 ] || fail "answers of a wrong target"
  [ "$(field "$account" wrong_service)" = 0 ] ||
    fail "answers of a wrong service"
  [ "$(field "$account" silent)" = 0 ] || fail "connections fell silent"
}

# start_request_targets: two services with a target in each data centre; sets
# ledger_pids to those of the pot ledger.
start_request_targets() {
  ledger_pids=()
  for last in 1 2 3 4 5 6; do
    local port=8081 slots=2
    [ "$last" -le 3 ] || { port=8082 slots=4; }
    "$bin/request_target" --slots "$slots" --service-ms 5 \
      "127.0.2.$last:$port" >"$work/request_target.$last" \
      2>"$work/request_target.$last.err" &
    pids+=("$!")
    [ "$last" -gt 3 ] || ledger_pids+=("$!")
  done
}

# book KEY ADDRESS: books once; a refusal that says not-run is repeated with the
# same key at the same instance. Prints done, unknown or failed.
book() {
  local reply run
  for _ in $(seq 60); do
    reply=$(curl --silent --http2-prior-knowledge --max-time 10 -i \
      -H "idempotency-key: $1" --data "$1" "http://$2:8081/echo" || true)
    run=$(tr -d '\r' <<<"$reply" | sed -n 's/^rosemaryreach-run: //p')
    case $run in
      run) [ "$(tail -n 1 <<<"$reply")" = "$1" ] && echo done || echo failed ;;
      not-run) sleep 0.1 && continue ;;
      *) echo unknown ;;
    esac
    return
  done
  echo failed
}

# start_bookings SECONDS ADDRESS...: books one after the other at the instances
# in turn, and reads a board; sets bookings_pid.
start_bookings() {
  local end=$((SECONDS + $1))
  shift
  (
    trap - EXIT
    n=0
    while [ "$SECONDS" -lt "$end" ]; do
      n=$((n + 1))
      local which=$((n % $# + 1))
      address=${!which}
      book "booking-$n" "$address" >>"$work/bookings"
      curl --silent --http2-prior-knowledge --max-time 10 -o /dev/null \
        -w '%{http_code}\n' "http://$address:8082/echo" >>"$work/reads" || true
    done
  ) &
  bookings_pid=$!
  pids+=("$bookings_pid")
}

# finish_bookings: waits for them, stops the ledger's targets, and compares what
# callers were told with what the targets ran.
finish_bookings() {
  wait "$bookings_pid" || fail "the bookings did not finish"
  for pid in "${ledger_pids[@]}"; do
    kill "$pid"
    wait "$pid" || fail "a request target did not finish"
  done
  local booked unknown failed ran=0 reads
  booked=$(grep -c '^done$' "$work/bookings" || true)
  unknown=$(grep -c '^unknown$' "$work/bookings" || true)
  failed=$(grep -c '^failed$' "$work/bookings" || true)
  reads=$(grep -c '^200$' "$work/reads" || true)
  for last in 1 2 3; do
    tail -n 1 "$work/request_target.$last" >"$work/ledger.json"
    ran=$((ran + $(field "$work/ledger.json" started)))
  done
  say "   bookings told as run $booked, run by targets $ran, unknown $unknown," \
    "failed $failed; board reads $reads"
  [ "$failed" = 0 ] || fail "bookings failed"
  [ "$booked" -gt 0 ] || fail "nothing was booked"
  [ "$ran" -ge "$booked" ] && [ "$ran" -le $((booked + unknown)) ] ||
    fail "bookings were lost or doubled"
}

# wait_ready ADDRESS: until the instance is ready.
wait_ready() {
  for _ in $(seq 100); do
    curl -sf "http://$1:7200/readyz" >/dev/null && return
    sleep 0.1
  done
  fail "instance at $1 is not ready: $(curl -s "http://$1:7200/readyz")"
}

