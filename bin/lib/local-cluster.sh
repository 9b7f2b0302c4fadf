# Functions for scripts that run entry hosts and simulated workers as processes on loopback. Source this file from the
# root of the workspace. A script sets `cluster` and `voters`, calls open_folder and assign_ports, and sets `whole=true`
# at its end. On exit, end_all stops every process that was started, by process id, and removes the folder. If `whole`
# is not true or the script failed, end_all keeps the folder and exits with a non-zero status.

readonly WAIT_SECONDS=180
readonly END_SECONDS=45

declare -A pids=() data_centre_of=() caller=() worker=() operator=() peer=()
cluster=""
voters=""
folder=""
peers=""
operators=""
callers=""
used_ports=" "
whole=false

say() { printf '%s  %s\n' "$(date +%H:%M:%S)" "$*"; }

fail() {
  say "FAILED: $*"
  exit 1
}

# Stops the named processes with SIGTERM, then with SIGKILL those that are still running after END_SECONDS.
end_processes() {
  local name left=$((SECONDS + END_SECONDS))
  for name in "$@"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for name in "$@"; do
    while kill -0 "${pids[$name]}" 2>/dev/null && [ $SECONDS -lt $left ]; do sleep 0.2; done
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
  done
}

# Stops all processes that were started, the entry hosts last.
end_all() {
  local status=$?
  trap - EXIT INT TERM
  local name hosts=() others=()
  for name in "${!pids[@]}"; do
    if [ -n "${data_centre_of[$name]:-}" ]; then hosts+=("$name"); else others+=("$name"); fi
  done
  end_processes "${others[@]}"
  end_processes "${hosts[@]}"
  if [ "$whole" = true ] && [ "$status" -eq 0 ]; then
    rm -rf "$folder"
    say "All processes stopped."
    exit 0
  fi
  [ -z "$folder" ] || say "Logs and data are kept in $folder"
  [ "$status" -ne 0 ] || status=1
  exit "$status"
}

trap_end() {
  trap end_all EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# Builds the three programs unless their archives are newer than all sources.
build() {
  local archives=(waxwinghead-{daemon,cli,testkit}/target/*-all.jar)
  local archive
  for archive in "${archives[@]}"; do
    if [ ! -f "$archive" ] || [ -n "$(find pom.xml waxwinghead-*/pom.xml waxwinghead-*/src/main -type f \
      -newer "$archive" -print -quit)" ]; then
      say "Building (mvn package), which takes a minute or more the first time"
      mvn --batch-mode --quiet --no-transfer-progress package -Dmaven.test.skip=true \
        -pl waxwinghead-daemon,waxwinghead-cli,waxwinghead-testkit -am || fail "the build failed"
      touch "${archives[@]}"
      return
    fi
  done
}

open_folder() {
  folder=$(mktemp -d "${TMPDIR:-/tmp}/waxwinghead-$cluster.XXXXXX")
}

# Sets free_port to a loopback port without a listener, below the ephemeral port range.
find_port() {
  while true; do
    free_port=$((10000 + (RANDOM * 32768 + RANDOM) % 20000))
    case $used_ports in *" $free_port "*) continue ;; esac
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$free_port") 2>/dev/null; then
      used_ports="$used_ports$free_port "
      return
    fi
  done
}

# Assigns ports to entry hosts, each given as host@data-centre.
assign_ports() {
  local named host
  for named in "$@"; do
    host=${named%@*}
    data_centre_of[$host]=${named#*@}
    find_port && caller[$host]=127.0.0.1:$free_port
    find_port && worker[$host]=127.0.0.1:$free_port
    find_port && operator[$host]=127.0.0.1:$free_port
    find_port && peer[$host]=127.0.0.1:$free_port
    peers="$peers${peers:+,}$named=${peer[$host]}"
    operators="$operators${operators:+,}${operator[$host]}"
    callers="$callers${callers:+,}${caller[$host]}"
  done
}

start() {
  local name=$1
  shift
  "$@" >>"$folder/$name.log" 2>&1 &
  pids[$name]=$!
}

alive() {
  local name
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || fail "$name exited unexpectedly: $(tail -n 3 "$folder/$name.log")"
  done
}

waxwinghead() { bin/waxwinghead "$@" --entry-hosts "$operators"; }

indent() { sed 's/^/          /'; }

# Waits until the output of a command matches a pattern. Arguments: description, pattern, command.
await_text() {
  local what=$1 text=$2
  shift 2
  local left=$((SECONDS + WAIT_SECONDS)) output
  while true; do
    output=$("$@" 2>&1) || true
    grep -q "$text" <<<"$output" && return
    alive
    [ $SECONDS -lt $left ] || fail "$what: timed out after $WAIT_SECONDS s; $(tail -n 20 <<<"$output")"
    sleep 0.5
  done
}

start_entry_host() {
  local host=$1
  local folder_flags=()
  case ",$voters," in *",$host,"*) folder_flags=(--data-folder "$folder/data-$host") ;; esac
  start "$host" bin/waxwingheadd --cluster "$cluster" --host "$host" --data-centre "${data_centre_of[$host]}" \
    --caller-listen "${caller[$host]}" --worker-listen "${worker[$host]}" \
    --operator-listen "${operator[$host]}" --peer-listen "${peer[$host]}" \
    --peers "$peers" --initial-voters "$voters" "${folder_flags[@]}"
}

kill_entry_host() {
  local host=$1
  kill -KILL "${pids[$host]}"
  wait "${pids[$host]}" 2>/dev/null || true
  unset "pids[$host]"
}

# Prints the worker ports of the entry hosts in a data centre.
worker_ports() {
  local host ports=""
  for host in "${!data_centre_of[@]}"; do
    if [ "${data_centre_of[$host]}" = "$1" ]; then ports="$ports${ports:+,}${worker[$host]}"; fi
  done
  echo "$ports"
}

# Prints the value of a field of a load summary.
field() { grep -o "\"$1\" : [0-9.]*" <<<"$2" | head -n 1 | sed 's/.* //'; }
