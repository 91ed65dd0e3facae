# Starts and stops a deployment with fake dependencies as plain processes on loopback. Other scripts
# source this file and set: deployment (falaj or kumlama), bin (programs), out (logs).

declare -A pids=()

start() {  # NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids[$name]=$!
}

stop_all() {
  local signal=${1:-TERM}
  for it in "${!pids[@]}"; do kill "-$signal" "${pids[$it]}" 2>/dev/null || true; done
  for it in "${!pids[@]}"; do wait "${pids[$it]}" 2>/dev/null || true; done
  pids=()
}

setting() { jq -r "$1" "deploy/$deployment/settings.json"; }

start_entry() {  # HOST
  local it
  for it in admin router scheduler; do
    start "$it-$1" "$bin/pomelopond-$it" --settings "deploy/$deployment/settings.json" --host "$1"
  done
}

start_deployment() {
  mapfile -t entry_hosts < <(setting '.entry_hosts[].id')
  mapfile -t workers < <(jq -r '.hosts[].worker' "deploy/$deployment/hosts.json")
  mapfile -t targets < <(jq -r '.hosts[].targets[].endpoint' "deploy/$deployment/hosts.json")
  local cpu memory
  cpu=$(jq -r '.hosts[0].cpu_milli' "deploy/$deployment/hosts.json")
  memory=$(jq -r '.hosts[0].memory_mb' "deploy/$deployment/hosts.json")
  start fake-store "$bin/fake-store" --listen "$(setting .store)"
  start fake-hostlist "$bin/fake-hostlist" --listen "$(setting .host_list)" \
    --hosts "deploy/$deployment/hosts.json"
  start fake-worker "$bin/fake-worker" --cpu-milli "$cpu" --memory-mb "$memory" \
    --listen "$(IFS=,; echo "${workers[*]}")"
  start fake-target "$bin/fake-target" --service-ms 5 --listen "$(IFS=,; echo "${targets[*]}")"
  local it
  for it in "${entry_hosts[@]}"; do start_entry "$it"; done
}

wait_for() {  # SECONDS DESCRIPTION COMMAND...
  local limit=$1 what=$2 n
  shift 2
  for ((n = 0; n < limit * 10; ++n)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up after $limit s: $what" >&2
  return 1
}
