# Runs a small site of daemons and stand-ins on loopback addresses. This file is
# sourced by test scripts and needs bash.
#
# Each member is a daemon and its target on one address, given as 127.30.Z.N.
# The ports are: entry 8000, peer 8001, local 8002, control 8003, target 8080.
# Sites that run at the same time use different address slots: each slot adds 20
# to Z. A script that has fixed addresses sets SITE_SLOT=0 first.
# Processes are stopped by their process ID.
# SITE_DAEMON_BUILD is the build directory of daemons and tool, if other than
# BUILD.
#
#   site_begin DIRECTORY          empties the directory and reserves a slot
#   site_member NAME ZONE SERVICE ADDRESS [target option...]
#                                 adds a member
#   site_start                    starts the platform, all daemons and all targets
#   site_apply FILE               applies a configuration
#   site_wait                     waits until all daemons are ready and see
#                                 all members
#   site_call NAME [caller option...]
#                                 sends load to the entry ports in SITE_ENTRIES
#   site_check [checker option...]
#                                 checks the histories
#   site_end                      stops all processes

SITE_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BUILD=${BUILD:-build}
case "$BUILD" in /*) ;; *) BUILD=$SITE_ROOT/$BUILD ;; esac
SITE_SLOTS=10
SITE_SLOT_ZONES=20
SITE_SLOT_WAIT_S=300
SITE_THREADS_DEFAULT='"entry": 200, "peer": 200, "local": 100'
SITE_DEADLINE_S=${SITE_DEADLINE_S:-20}

declare -A SITE_ZONE SITE_SERVICE SITE_ADDRESS SITE_OPTIONS
declare -A DAEMON_PID TARGET_PID
SITE_MEMBERS=()
SITE_ENTRIES=()
SITE_OTHERS=()
PLATFORM_PID=
SITE_LIFE=0
SITE_WRAPPER=${SITE_WRAPPER:-}

site_fail ()
{
  echo "site: $*" >&2
  exit 1
}

# Reserves an address slot. File descriptor 9 holds its lock, until this shell
# and all processes that inherit the descriptor have ended.
site_take_slot ()
{
  local wanted=${SITE_SLOT:-}
  if [ -n "$wanted" ]; then
    exec 9> "${TMPDIR:-/tmp}/jackdawladder-site-$wanted.lock"
    flock -w "$SITE_SLOT_WAIT_S" 9 || site_fail "address slot $wanted is in use"
    return
  fi
  for ((SITE_SLOT = 0; SITE_SLOT < SITE_SLOTS; SITE_SLOT++)); do
    exec 9> "${TMPDIR:-/tmp}/jackdawladder-site-$SITE_SLOT.lock"
    flock -n 9 && return
  done
  site_fail "all address slots are in use"
}

# Prints an address 127.30.Z.N, or a prefix such as 127.30.Z., moved to the
# site's slot.
site_address ()
{
  local rest=${1#127.30.}
  echo "127.30.$((${rest%%.*} + SITE_SLOT * SITE_SLOT_ZONES)).${rest#*.}"
}

site_begin ()
{
  SITE_DIR=$1
  site_take_slot
  SITE_PLATFORM=$(site_address 127.30.0.1):9000
  SITE_PLATFORM_CONTROL=$(site_address 127.30.0.1):9001
  rm -rf "$SITE_DIR"
  mkdir -p "$SITE_DIR"
  trap site_end EXIT
}

# site_record FILE JSON-MEMBERS: appends a record with the current time.
site_record ()
{
  python3 -c 'import json, sys, time
record = {"at": time.monotonic_ns() // 1000}
record.update(json.loads("{" + sys.argv[1] + "}"))
print(json.dumps(record))' "$2" >> "$SITE_DIR/$1"
}

# site_note WHO WHAT: records a fault. Call it right before injecting the fault.
site_note ()
{
  local who=$1 what=$2
  site_record faults.jsonl "\"t\": \"fault\", \"who\": \"$who\", \"what\": \"$what\",
    \"entry\": \"${SITE_ADDRESS[$who]:+${SITE_ADDRESS[$who]}:8000}\""
}

site_member ()
{
  local name=$1 zone=$2 service=$3 address
  address=$(site_address "$4")
  shift 4
  SITE_MEMBERS+=("$name")
  SITE_ZONE[$name]=$zone
  SITE_SERVICE[$name]=$service
  SITE_ADDRESS[$name]=$address
  SITE_OPTIONS[$name]="$*"
  SITE_ENTRIES+=("$address:8000")
}

# Prints the settings of a daemon. The first two members are the seeds of all.
site_settings ()
{
  local name=$1 seeds="" other
  for other in "${SITE_MEMBERS[@]:0:2}"; do
    seeds="$seeds${seeds:+, }\"${SITE_ADDRESS[$other]}:8003\""
  done
  cat << END
{
  "name": "$name",
  "zone": "${SITE_ZONE[$name]}",
  "address": "${SITE_ADDRESS[$name]}",
  "entry_port": 8000, "peer_port": 8001,
  "local_port": 8002, "control_port": 8003,
  "target": "${SITE_ADDRESS[$name]}:8080",
  "platform": "$SITE_PLATFORM",
  "seeds": [$seeds],
  "threads": {${SITE_THREADS:-$SITE_THREADS_DEFAULT}},
  "mode": "${SITE_MODE:-full}",
  "drain_ms": 60000
}
END
}

start_platform ()
{
  "$BUILD/standins/platform" --listen "$SITE_PLATFORM" \
    --control "$SITE_PLATFORM_CONTROL" \
    --history "$SITE_DIR/platform.jsonl" >> "$SITE_DIR/platform.log" 2>&1 &
  PLATFORM_PID=$!
}

start_daemon ()
{
  local name=$1
  SITE_LIFE=$((SITE_LIFE + 1))
  site_settings "$name" > "$SITE_DIR/$name.json"
  $SITE_WRAPPER "${SITE_DAEMON_BUILD:-$BUILD}/jackdawladderd" \
    --settings "$SITE_DIR/$name.json" \
    > "$SITE_DIR/$name.$SITE_LIFE.daemon.log" 2>&1 &
  DAEMON_PID[$name]=$!
}

start_target ()
{
  local name=$1 address=${SITE_ADDRESS[$1]} options
  eval "options=(${SITE_OPTIONS[$name]})"
  "$BUILD/standins/target" --listen "$address:8080" --daemon "$address:8002" \
    --service "${SITE_SERVICE[$name]}" --name "$name" \
    --history "$SITE_DIR/$name.target.jsonl" "${options[@]}" \
    >> "$SITE_DIR/$name.target.log" 2>&1 &
  TARGET_PID[$name]=$!
}

kill_daemon ()
{
  site_note "$1" kill
  kill -KILL "${DAEMON_PID[$1]}"
  wait "${DAEMON_PID[$1]}" 2> /dev/null
  unset "DAEMON_PID[$1]"
}

kill_target ()
{
  site_note "$1" kill
  kill -KILL "${TARGET_PID[$1]}"
  wait "${TARGET_PID[$1]}" 2> /dev/null
  unset "TARGET_PID[$1]"
}

# Begins the graceful shutdown of a daemon and does not wait for its exit.
drain_daemon ()
{
  site_note "$1" drain
  kill -TERM "${DAEMON_PID[$1]}"
}

site_start ()
{
  local name
  start_platform
  for name in "${SITE_MEMBERS[@]}"; do
    start_daemon "$name"
  done
  for name in "${SITE_MEMBERS[@]}"; do
    start_target "$name"
  done
  site_alive
}

# Whether a process runs. A zombie, which has ended but was not waited for, does
# not.
is_running ()
{
  grep -q '^State:[[:space:]]*[^Z[:space:]]' "/proc/$1/status" 2> /dev/null
}

# Fails if a process has ended, for instance because its address is in use.
site_alive ()
{
  local name
  sleep 0.5
  is_running "$PLATFORM_PID" || site_fail "the platform has ended"
  for name in "${SITE_MEMBERS[@]}"; do
    is_running "${DAEMON_PID[$name]}" \
      || site_fail "daemon $name: $(tail -n 1 "$SITE_DIR/$name".*.daemon.log)"
    is_running "${TARGET_PID[$name]}" \
      || site_fail "target $name: $(tail -n 1 "$SITE_DIR/$name.target.log")"
  done
}

site_status ()
{
  curl -s -m 1 "http://${SITE_ADDRESS[$1]}:8002/jl/status"
}

# is_ready NAME COUNT: whether a daemon has a configuration, its target is up,
# and it sees COUNT members alive.
is_ready ()
{
  local count=$2
  site_status "$1" | python3 -c 'import json, sys
status = json.load(sys.stdin)
sys.exit(0 if status["config_version"] > 0 and status["target"]["up"]
         and status["alive"] >= int(sys.argv[1]) else 1)' "$count" 2> /dev/null
}

# site_wait [COUNT]: waits until each running daemon is ready and sees COUNT
# members, by default as many as there are running daemons.
site_wait ()
{
  local name count=${1:-${#DAEMON_PID[@]}} until=$((SECONDS + SITE_DEADLINE_S))
  for name in "${!DAEMON_PID[@]}"; do
    until is_ready "$name" "$count"; do
      [ "$SECONDS" -lt "$until" ] \
        || site_fail "$name is not ready: $(site_status "$name")"
      sleep 0.1
    done
  done
}

# Runs the operators' tool against the site's platform.
site_tool ()
{
  "${SITE_DAEMON_BUILD:-$BUILD}/jackdawladder" --platform "$SITE_PLATFORM" "$@"
}

# Applies a configuration and records its version. Retries, since the platform
# may not listen yet.
site_apply ()
{
  local until=$((SECONDS + SITE_DEADLINE_S))
  SITE_CONFIG=$1
  until site_tool apply "$1" >> "$SITE_DIR/apply.log" 2>&1; do
    [ "$SECONDS" -lt "$until" ] \
      || site_fail "cannot apply $1: $(tail -n 3 "$SITE_DIR/apply.log")"
    sleep 0.2
  done
  site_record faults.jsonl "\"t\": \"applied\", \"version\": $(
    sed -n 's/^version \([0-9]*\) is in force$/\1/p' "$SITE_DIR/apply.log" \
      | tail -n 1)"
}

# Waits until each running daemon has the given version or a higher one.
site_wait_version ()
{
  local name version=$1 until=$((SECONDS + SITE_DEADLINE_S))
  for name in "${!DAEMON_PID[@]}"; do
    until site_status "$name" | python3 -c 'import json, sys
sys.exit(json.load(sys.stdin)["config_version"] < int(sys.argv[1]))' \
      "$version" 2> /dev/null; do
      [ "$SECONDS" -lt "$until" ] \
        || site_fail "$name has no version $version: $(site_status "$name")"
      sleep 0.1
    done
  done
}

# platform_control FAULT?PARAMETER=VALUE: sets a fault of the platform.
platform_control ()
{
  curl -sf -m 2 -X POST "http://$SITE_PLATFORM_CONTROL/test/$1" > /dev/null \
    || site_fail "the platform does not take the fault $1 (curl: $?)"
}

# site_call NAME [caller option...]: sends load to all entry ports. The history
# is NAME.caller.jsonl.
site_call ()
{
  local name=$1 entry entries=()
  shift
  for entry in "${SITE_ENTRIES[@]}"; do
    entries+=(--entry "$entry")
  done
  "$BUILD/standins/caller" --name "$name" "${entries[@]}" \
    --history "$SITE_DIR/$name.caller.jsonl" \
    --csv "$SITE_DIR/$name.csv" "$@"
}

# site_sample [exec] [--once]: records the configuration versions of all daemons.
# With exec, the sampler replaces the shell, so that $! is its process ID.
site_sample ()
{
  local name daemons=() how=""
  if [ "${1:-}" = exec ]; then
    how="exec"
    shift
  fi
  for name in "${SITE_MEMBERS[@]}"; do
    daemons+=("$name=${SITE_ADDRESS[$name]}:8002")
  done
  $how python3 -B "$SITE_ROOT/tests/history/watch.py" "$@" \
    --history "$SITE_DIR/versions.jsonl" "${daemons[@]}"
}

# Samples the configuration versions in the background until site_end.
site_watch ()
{
  site_sample exec &
  SITE_OTHERS+=($!)
}

# site_install NAME VERSION FILE: sends a configuration to a daemon as the tool
# does.
site_install ()
{
  curl -s -m 2 -X POST -H "Jl-Config-Version: $2" --data-binary "@$3" \
    "http://${SITE_ADDRESS[$1]}:8002/jl/config" > /dev/null
}

# Writes a history of the versions that daemons installed, from the log of each
# daemon process. The times are line numbers: only the order matters.
site_installed ()
{
  local log name
  for log in "$SITE_DIR"/*.daemon.log; do
    name=$(basename "$log" .daemon.log)
    sed -n 's/.*E101 .*version=\([0-9]*\).*/\1/p' "$log" \
      | awk -v who="${name%.*}" -v incarnation="log-${name##*.}" '{
          printf "{\"at\":%d,\"t\":\"version\",\"who\":\"%s\",", NR, who
          printf "\"life\":\"%s\",\"version\":%d,\"digest\":\"\"}\n", incarnation, $1
        }'
  done > "$SITE_DIR/installed.jsonl"
}

# Checks all histories of the site against the rules.
site_check ()
{
  site_installed
  python3 -B "$SITE_ROOT/tests/history/check.py" \
    ${SITE_CONFIG:+--config "$SITE_CONFIG"} "$@" "$SITE_DIR"/*.jsonl
}

# Kills all processes that still run. SIGKILL also ends paused processes; it
# causes no graceful shutdown.
site_end ()
{
  local process
  for process in "${SITE_OTHERS[@]}" "${DAEMON_PID[@]}" "${TARGET_PID[@]}" \
    $PLATFORM_PID; do
    kill -KILL "$process" 2> /dev/null
  done
  for process in "${SITE_OTHERS[@]}" "${DAEMON_PID[@]}" "${TARGET_PID[@]}" \
    $PLATFORM_PID; do
    wait "$process" 2> /dev/null
  done
  DAEMON_PID=()
  TARGET_PID=()
  SITE_OTHERS=()
  PLATFORM_PID=
}

# small_site DIRECTORY [target option...]: starts the site of the process tests,
# services front and store in zones a, b and c. Members are front-a, store-a and
# so on.
small_site ()
{
  local zone number=0
  site_begin "$1"
  shift
  for zone in a b c; do
    number=$((number + 1))
    site_member "front-$zone" "$zone" front "127.30.$number.1" "$@" \
      --then "'/order POST /book'"
    site_member "store-$zone" "$zone" store "127.30.$number.2" "$@"
  done
  site_start
  site_apply "$SITE_ROOT/tests/site.json"
  site_wait
}

# Partitions zone c of the small site from zones a and b, for daemons only.
cut_zone_c ()
{
  local name
  site_note zone-c cut
  for name in "${SITE_MEMBERS[@]}"; do
    if [ "${SITE_ZONE[$name]}" = c ]; then
      site_hook "$name" "cut?prefix=$(site_address 127.30.1.)"
      site_hook "$name" "cut?prefix=$(site_address 127.30.2.)"
    else
      site_hook "$name" "cut?prefix=$(site_address 127.30.3.)"
    fi
  done
}

# Ends the partition.
join_zones ()
{
  local name
  site_note zone-c join
  for name in "${SITE_MEMBERS[@]}"; do
    site_hook "$name" join
  done
}

RESERVE="reserve POST /reserve importance=0 idempotent=0 key=ticket request-bytes=200"
LIST="list GET /list importance=1"
SCAN="scan GET /scan importance=2"
ORDER="order POST /order importance=1 request-bytes=200"
UPLOAD="upload PUT /upload importance=2 request-bytes=500000"

# Whether all requests of a caller get complete answers, with up to 60
# repetitions of each.
site_serves ()
{
  site_call after --rate 50 --seconds 30 --count 50 --resends 60 \
    --resend-ms 250 --hammer --timeout-ms 3000 --all \
    --kind "$LIST" --kind "$RESERVE" --kind "$ORDER"
}

# process_test NAME FUNCTION [argument...]: runs a function, with the output
# directory as its last argument, and prints its test line. The output goes to
# out/NAME.log.
process_test ()
{
  local name=$1 log=$SITE_ROOT/out/$1.log
  shift
  mkdir -p "$SITE_ROOT/out"
  if ("$@" "$SITE_ROOT/out/$name") > "$log" 2>&1; then
    echo "ok $name"
  else
    cat "$log"
    echo "not ok $name"
  fi
}

# process_test_broken NAME RULE FUNCTION: runs a function that must violate a
# rule, since a mechanism is switched off or the daemons only forward, and prints
# its test line.
process_test_broken ()
{
  local name=$1 rule=$2 log=$SITE_ROOT/out/$1.log
  shift 2
  mkdir -p "$SITE_ROOT/out"
  ("$@" "$SITE_ROOT/out/$name") > "$log" 2>&1
  if grep -q "^violated $rule:" "$log"; then
    echo "ok $name"
  else
    cat "$log"
    echo "not ok $name"
  fi
}

# site_hook NAME HOOK: posts to a test hook of a daemon.
site_hook ()
{
  curl -s -m 1 -X POST "http://${SITE_ADDRESS[$1]}:8002/test/$2" > /dev/null
}
