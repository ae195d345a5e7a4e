# Functions that run a complete system on loopback addresses of one machine;
# sourced by demo.sh. Every process is started in the background, recorded with
# its PID in $DATA/pids and stopped by that PID.

BIN=${BIN:-bin}
# NET is the prefix of every address. Systems with different prefixes can run side
# by side on one machine.
NET=${KQ_DEMO_NET:-127.0.0}
DCS="1 2 3"
VMS="1 2 3"
JOIN=$NET.11:7201,$NET.21:7201,$NET.31:7201

say() { echo "[$(date +%H:%M:%S)] $*"; }

# addresses_free fails if another process listens on one of the addresses of the
# entry VMs.
addresses_free() {
  local dc vm port
  for dc in $DCS; do for vm in $VMS; do for port in 7100 7200 7201; do
    if (exec 3<>"/dev/tcp/$NET.$dc$vm/$port") 2>/dev/null; then
      echo "$NET.$dc$vm:$port is in use; stop the process that listens there, or set KQ_DEMO_NET to another address prefix, such as 127.0.7" >&2
      return 1
    fi
  done; done; done
}

# start NAME COMMAND... runs a command in the background with its stdout and stderr
# in $DATA/log.
start() {
  local name=$1
  shift
  "$@" >"$DATA/log/$name.out" 2>"$DATA/log/$name.log" &
  echo "$! $name" >>"$DATA/pids"
}

# start_vm DC VM
start_vm() {
  local dc=$1 vm=$2 ip=$NET.$1$2
  start "dc$dc-$vm.kqcontrol" "$BIN/kqcontrol" --vm "dc$dc-$vm" --dc "dc$dc" --region mauritius \
    --wire "$ip:7201" --http "$ip:7200" --entry "$ip:7100" --join "$JOIN" \
    --data "$DATA/vm/dc$dc-$vm" --events "$DATA/events"
  start "dc$dc-$vm.kqentry" "$BIN/kqentry" --vm "dc$dc-$vm" --dc "dc$dc" \
    --http "$ip:7100" --control "$ip:7201" --events "$DATA/events"
}

# start_workers DC COUNT
start_workers() {
  local dc=$1 count=$2
  start "dc$dc.workers" "$BIN/kqfake" worker --dc "dc$dc" --name "w$dc" --count "$count" --accelerators 1 \
    --control "http://$NET.${dc}1:7100" --control "http://$NET.${dc}2:7100" --control "http://$NET.${dc}3:7100" \
    --events "$DATA/events"
}

# start_backend DC NUMBER QUEUE
start_backend() {
  local dc=$1 n=$2 queue=$3
  start "dc$dc.$queue.$n" "$BIN/kqfake" backend --server "$queue-$dc-$n" --dc "dc$dc" --queue "$queue" \
    --listen "$NET.1$dc$n:8000" --entry "$NET.${dc}1:7100" --entry "$NET.${dc}2:7100" \
    --entry "$NET.${dc}3:7100" --delay 2ms --drain 1s --runs "$DATA/runs/$queue-$dc-$n"
}

# entries prints an --entry flag for every entry VM.
entries() {
  for dc in $DCS; do for vm in $VMS; do printf ' --entry %s.%s%s:7100' "$NET" "$dc" "$vm"; done; done
}

# end PATTERN sends SIGTERM to the processes whose names match and waits up to 10 s
# for each; then it sends SIGKILL.
end() {
  local pid name
  grep -E " $1" "$DATA/pids" 2>/dev/null | while read -r pid name; do kill -TERM "$pid" 2>/dev/null || true; done
  grep -E " $1" "$DATA/pids" 2>/dev/null | while read -r pid name; do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    if kill -0 "$pid" 2>/dev/null; then say "$name did not stop in time, killing it"; kill -KILL "$pid"; fi
  done
}

# until_ok SECONDS COMMAND... runs a command every 0.2 s until it succeeds. It fails
# after SECONDS, not counting the run time of the command.
until_ok() {
  local tries=$(($1 * 5))
  shift
  for _ in $(seq "$tries"); do "$@" >/dev/null 2>&1 && return 0; sleep 0.2; done
  echo "command did not succeed in time: $*" >&2
  return 1
}
