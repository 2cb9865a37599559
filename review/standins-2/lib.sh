# Starts entry instances with the command of the deploy file, and ends what it
# started. Sourced by the run.sh of a case, with `case_dir` set.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
work=$(mktemp -d)
pids=()
end_all() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait "${pids[@]}" 2>/dev/null
  rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM
# Loopback addresses that no earlier run of this minute is likely to use.
prefix=127.$((64 + RANDOM % 128)).$((1 + RANDOM % 250))

unusable() {
  echo "$1" >"$case_dir/record.txt"
  exit 2
}
[ -x target/bin/rosemaryreach-entry ] || unusable "the entry program isn't built"
[ -x target/review-2/deployment ] || unusable "run review/build-2.sh first"

# start_entry NAME ZONE OCTET SEED_OCTET...: starts an instance at $prefix.OCTET
start_entry() {
  local name=$1 zone=$2 ip=$prefix.$3 octet
  shift 3
  {
    printf 'nodeName: "%s"\nrole: "entry"\nmachineClass: "front"\n' "$name"
    printf 'serves:\n  - "front"\n  - "control"\n'
    printf 'bindIp: "%s"\nzone: "%s"\nregion: "almaty"\n' "$ip" "$zone"
    printf 'zones:\n  almaty-a: "almaty"\n  almaty-b: "almaty"\n'
    printf '  almaty-c: "almaty"\nlisten:\n  packetAddr: "%s:8172"\n' "$ip"
    printf '  ready: "%s:8167"\n  control: "%s:8166"\n' "$ip" "$ip"
    printf 'portRange:\n  - 7720\n  - 7735\nseedAddrs:\n'
    for octet in "$@"; do printf '  - "%s.%s:8166"\n' "$prefix" "$octet"; done
    cat <<SETTINGS
bootstrap: false
countLoss: false
limits:
  cpuShare: 0.25
  cpuCores: 1
  memoryMb: 260
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "advertise"
heartbeatMs: 770
faultTolerance:
  machines: 2
  zones: 1
  regions: 0
bounds:
  seedLagS: 3
  addrReuseS: 2
  stableWindowMs: 4000
  ackTimeoutMs: 5000
  syncS: 4
  drainTimeoutMs: 3000
  gracePeriodS: 6
  lossSlackMs: 200
  configApplyMs: 3000
  rollbackSlackMs: 250
  maxStretchMs: 12000
  coldOver: 1.5
  coldSlack: 5
  evacuateMs: 5000
  recoveryS: 12
  flowMs: 2000
  flowTtlS: 60
hash: "steady"
deploymentMode: "echo"
platform:
  address: "$prefix.2:8169"
  deploymentMode: "read"
  writesPerS: 400
  readsPerS: 2000
  retentionS: 20
  valueBytes: 1048576
  ttlMinMs: 1000
SETTINGS
  } >"$work/$name.yaml"
  ROSEMARYREACH_SETTINGS="$work/$name.yaml" \
    target/bin/rosemaryreach-entry --metrics-port 9109 >"$work/$name.log" 2>&1 &
  pids+=($!)
  echo "$ip $!" >>"$work/pids"
}

# start_entries COUNT SEED_OCTET...: starts COUNT instances in each zone
start_entries() {
  local zone i count=$1
  shift
  for zone in a b c; do
    for i in $(seq "$count"); do
      start_entry "front-almaty-$zone-$i" "almaty-$zone" "$(octet_of $zone $i)" "$@"
    done
  done
}
octet_of() { case $1 in a) echo "1$2" ;; b) echo "2$2" ;; c) echo "3$2" ;; esac; }
# instances COUNT: the instances that start_entries starts
instances() {
  local zone i
  for zone in a b c; do
    for i in $(seq "$1"); do echo "almaty-$zone:$(octet_of $zone "$i")"; done
  done
}
# start_deployment SCENARIO INSTANCE...: starts everything around the instances
start_deployment() {
  PIDS="$work/pids" target/review-2/deployment "$1" "$prefix" "$case_dir/record.txt" "${@:2}" &
  deployment=$!
  pids+=($deployment)
}
