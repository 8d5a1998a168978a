#!/usr/bin/env bash
# Runs both example deployments, one after the other, on the loopback
# interface. Each consists of stand-ins for the external systems, two routers and
# three agents as separate processes. The script publishes the example objects,
# sends requests for two teams, prints the status and stops every process with
# SIGTERM.
#
# The tokens below are used only by this demo; the example files contain only
# their SHA-256 hashes.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly READY_TIMEOUT_SECONDS=30
# Number of lines of each log that are printed after a failure.
readonly LOG_LINES=30
log_dir=$(mktemp -d)
pids=()
names=()

# stop_matching PATTERN sends SIGTERM to all processes whose names match, waits
# for them and fails if any doesn't exit with 0.
stop_matching() {
  local failed=0 i code
  for i in "${!pids[@]}"; do
    if [[ ${names[$i]} == $1 ]]; then
      kill -TERM "${pids[$i]}" 2>/dev/null || true
    fi
  done
  for i in "${!pids[@]}"; do
    if [[ ${names[$i]} != $1 ]]; then
      continue
    fi
    code=0
    wait "${pids[$i]}" || code=$?
    if [[ $code -ne 0 ]]; then
      echo "${names[$i]} exited with $code; last log lines:" >&2
      tail -n 5 "$log_dir/${names[$i]}.log" >&2
      failed=1
    fi
    unset "pids[$i]" "names[$i]"
  done
  return $failed
}

# stop_all stops agents before routers and routers before stand-ins.
stop_all() {
  local failed=0
  stop_matching 'agent-*' || failed=1
  stop_matching 'router-*' || failed=1
  stop_matching '*' || failed=1
  pids=()
  names=()
  return $failed
}

cleanup() {
  local code=$? log
  if [[ $code -ne 0 ]]; then
    for log in "$log_dir"/*.log; do
      echo "-- $(basename "$log"):" >&2
      tail -n "$LOG_LINES" "$log" >&2
    done
  fi
  stop_all || code=1
  rm -rf "$log_dir"
  exit $code
}
trap cleanup EXIT

# start NAME COMMAND... starts a process and waits until it logs its ready line.
start() {
  local name=$1
  shift
  # Clears the log, so that the ready line of an earlier process with the same
  # name isn't found before the new process opens the log.
  : >"$log_dir/$name.log"
  "$@" 2>>"$log_dir/$name.log" >"$log_dir/$name.out" &
  pids+=($!)
  names+=("$name")
  local deadline=$((SECONDS + READY_TIMEOUT_SECONDS))
  until grep -q '"msg":"ready"' "$log_dir/$name.log"; do
    if ! kill -0 "${pids[-1]}" 2>/dev/null || [[ $SECONDS -ge $deadline ]]; then
      echo "$name did not become ready; its log:" >&2
      cat "$log_dir/$name.log" "$log_dir/$name.out" >&2
      return 1
    fi
    sleep 0.05
  done
}

# address NAME FIELD prints an address from the ready line of a process.
address() {
  sed -n '/"msg":"ready"/ s/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$log_dir/$1.log"
}

# checks_fencing ENDPOINT prints true if the endpoint's object has "fencing:
# checked", otherwise false.
checks_fencing() {
  awk -v name="$1" '$1 == "name:" { current = $2 }
    current == name && $1 == "fencing:" { found = ($2 == "checked") }
    END { print found ? "true" : "false" }' "examples/$fleet/endpoints.yaml"
}

# call ROUTER TEAM PATH ARGS... sends one request and retries it while its outcome
# is not-run.
call() {
  local router=$1 team=$2 path=$3
  shift 3
  printf '%s: ' "$team"
  bin/acaciaspar-call -wait 30s -url "http://$(address "$router" callers)$path" -token "demo-$fleet-$team" "$@"
}

# run_deployment FLEET MODEL PLAIN ACTION TEAM1 TEAM2 ZONE... runs one deployment.
run_deployment() {
  fleet=$1
  local model=$2 plain=$3 action=$4 team1=$5 team2=$6
  shift 6
  local zones=("$@")
  local log hosts peers

  echo "== $fleet: starting"
  start log bin/acaciaspar-standin log
  start hosts bin/acaciaspar-standin hosts
  start model-1 bin/acaciaspar-standin engine -model "$model" -check-fencing="$(checks_fencing "$model-1")"
  start model-2 bin/acaciaspar-standin engine -model "$model" -check-fencing="$(checks_fencing "$model-2")"
  start plain-1 bin/acaciaspar-standin plain -check-fencing="$(checks_fencing "$plain-1")"
  log=http://$(address log listen)
  hosts=http://$(address hosts listen)/hosts

  start router-1 bin/acaciaspar router -fleet "$fleet" -zone "${zones[0]}" -log-url "$log" -hosts-url "$hosts"
  start router-2 bin/acaciaspar router -fleet "$fleet" -zone "${zones[1]}" -log-url "$log" -hosts-url "$hosts" \
    -peers "$(address router-1 fleet)"
  peers=$(address router-1 fleet),$(address router-2 fleet)

  echo "== $fleet: publishing"
  bin/acaciaspar check examples/"$fleet"/*.yaml
  bin/acaciaspar publish -operator demo -log-url "$log" examples/"$fleet"/*.yaml

  start_agent agent-1 "$model-1" "${zones[0]}" model-1
  start_agent agent-2 "$model-2" "${zones[1]}" model-2
  start_agent agent-3 "$plain-1" "${zones[2]}" plain-1

  echo "== $fleet: requests"
  call router-1 "$team1" "/$model/v1/completions" -hint 24 \
    -data '{"prompt":"undyed wool from the north shore","max_tokens":18,"stream":true}'
  call router-2 "$team2" "/$model/v1/completions" -hint 24 \
    -data '{"prompt":"paper lamps for the winter fair","max_tokens":12,"stream":true}'
  call router-1 "$team2" "/$plain/stock?id=skein-41" -method GET
  call router-2 "$team1" "/$plain/stock?id=lamp-7" -method GET
  call router-1 "$team1" "/$plain$action" -key "$fleet-order-1" -data '{"id":"order-1"}'
  call router-2 "$team2" "/$plain$action" -key "$fleet-order-2" -data '{"id":"order-2"}'

  echo "== $fleet: a key that was used before, at the other router"
  if call router-2 "$team1" "/$plain$action" -key "$fleet-order-1" -data '{"id":"order-1"}'; then
    echo "the repeated request was not refused" >&2
    return 1
  fi

  echo "== $fleet: status"
  # Agents report to the queue owner every 500 ms.
  sleep 2
  bin/acaciaspar status -fleet "$fleet" -routers "$peers"

  echo "== $fleet: stopping"
  stop_all
}

# start_agent NAME ENDPOINT ZONE STANDIN starts the agent of an endpoint whose
# service is a stand-in.
start_agent() {
  start "$1" bin/acaciaspar-agent -fleet "$fleet" -zone "$3" -endpoint "$2" \
    -endpoint-url "http://$(address "$4" listen)" -routers "$peers" -log-url "$log" -hosts-url "$hosts"
}

run_deployment lakeshore strand-assist post-desk /labels superior-mills thimble-club duluth toledo kingston
run_deployment kagaj batti-llm order-desk /bookings lokta-press night-market lalitpur patan kirtipur
echo "== done"
