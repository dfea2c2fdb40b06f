#!/usr/bin/env bash
# Installs what is needed, builds, and runs both example deployments on loopback addresses, one after
# the other, with stand-ins for the store and the backend servers. Searches run while a backend server
# and an instance leave. Exit code 0: all steps worked, no promise was broken, and no request in
# flight was interrupted. Option --no-build uses build/ as it is.
set -Eeuo pipefail
cd "$(dirname "$0")/.."

instances_per_deployment=4
start_limit_s=30
stop_limit_s=20
steady_s=8
leaving_s=16
slow_searches=4
call=(curl --silent --show-error --max-time 5)

daemon=build/packages/daemon/poplarfrontd
poplarctl=build/packages/control_client/poplarctl
loadgen=build/tools/loadgen/loadgen
backend_server=build/standins/backend_server/backend_server_standin
store_standin=build/standins/store/store_standin

work=$(mktemp -d)
declare -A process_ids=()  # name -> process id, of everything that is running
declare -A callers=() peers=() operators=() data_centres=()

say() { printf '\n== %s\n' "$*"; }

fail() {
  printf 'demo: %s\n' "$*" >&2
  exit 1
}

# start NAME COMMAND...: runs a process in the background with its output in a file.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  process_ids[$name]=$!
}

# await NAME SECONDS: waits until a process has ended; its exit code is in `ended_with`.
await() {
  local name=$1 tries=$(($2 * 20))
  local id=${process_ids[$name]}
  while kill -0 "$id" 2>/dev/null; do
    ((tries-- > 0)) || return 1
    sleep 0.05
  done
  ended_with=0
  wait "$id" || ended_with=$?
  unset "process_ids[$name]"
}

end_all() {
  local name
  for name in "${!process_ids[@]}"; do
    kill -TERM "${process_ids[$name]}" 2>/dev/null || true
  done
  for name in "${!process_ids[@]}"; do
    await "$name" 15 || kill -KILL "${process_ids[$name]}" 2>/dev/null || true
  done
  process_ids=()
}

on_exit() {
  local code=$?
  trap - EXIT ERR
  end_all
  if ((code != 0)); then
    printf 'demo: failed; last lines of the logs:\n' >&2
    grep -hv '^listening on' "$work"/*.log | tail -n 60 >&2 || true
  fi
  rm -rf "$work"
  exit "$code"
}
trap on_exit EXIT
trap 'printf "demo: line %s failed: %s\n" "$LINENO" "$BASH_COMMAND" >&2' ERR
trap 'exit 130' INT TERM

# value FILE SECTION KEY: one value of an INI file.
value() {
  awk -v section="[$2]" -v key="$3" '
    /^\[/ { inside = $0 == section }
    inside && $1 == key { print $3; exit }' "$1"
}

# answers URL: true if a GET has status 200.
answers() { [[ $("${call[@]}" --output /dev/null --write-out '%{http_code}' "$1" 2>/dev/null) == 200 ]]; }

# wait_for URL: waits until a GET has status 200.
wait_for() {
  local tries=$((start_limit_s * 10))
  until answers "$1"; do
    ((tries-- > 0)) || fail "no answer from $1 within $start_limit_s s"
    sleep 0.1
  done
}

# One line for each backend server: name address slots connections shards shards-of-the-service.
list_backend_servers() {
  awk '
    /^\[server / { name = $2; sub(/]/, "", name); names[++n] = name; service = "" }
    /^\[service / { service = $2; sub(/]/, "", service); name = "" }
    name && $1 == "address" { address[name] = $3 }
    name && $1 == "slots" { slots[name] = $3 }
    name && $1 == "connections" { connections[name] = $3 }
    service && /^shard\./ {
      shard = service ":" substr($1, 7)
      all[service] = all[service] (all[service] ? "," : "") shard
      for (i = 3; i <= NF; ++i) {
        held[$i] = held[$i] (held[$i] ? "," : "") shard
        service_of[$i] = service
      }
    }
    END {
      for (i = 1; i <= n; ++i) {
        it = names[i]
        print it, address[it], slots[it], connections[it], held[it], all[service_of[it]]
      }
    }' "$sections/shards.ini"
}

start_store() {
  store=$(value "$(instance_file 1)" store address)
  start store "$store_standin" --listen "$store"
  local tries=$((start_limit_s * 10))
  until "${call[@]}" --output /dev/null "http://$store/kv/platform/instances" 2>/dev/null; do
    ((tries-- > 0)) || fail "the store does not answer within $start_limit_s s"
    sleep 0.1
  done
}

start_backend_servers() {
  local name address slots connections held all cost
  backend_addresses=()
  while read -r name address slots connections held all; do
    cost=1
    # Backend servers of the groups take 6 ms for a new connection, the others 1 ms.
    if ((connections == 55)); then cost=6; fi
    start "$name" "$backend_server" --listen "$address" --name "$name" --shards "$held" \
      --service-shards "$all" --slots "$slots" --connections "$connections" --connect-cost-ms "$cost"
    backend_addresses+=("$address")
  done < <(list_backend_servers)
  for address in "${backend_addresses[@]}"; do
    wait_for "http://$address/counters"
  done
  echo "${#backend_addresses[@]} backend servers"
}

instance_file() { printf 'settings/%s/instances/%s-%02d.ini' "$deployment" "$deployment" "$1"; }

start_instances() {
  local i file name
  names=()
  for ((i = 1; i <= instances_per_deployment; ++i)); do
    file=$(instance_file "$i")
    name=$(value "$file" instance name)
    names+=("$name")
    data_centres[$name]=$(value "$file" instance data_centre)
    callers[$name]=$(value "$file" listen callers)
    peers[$name]=$(value "$file" listen peers)
    operators[$name]=$(value "$file" listen operators)
    "$daemon" --config "$file" --check-config >/dev/null
    start "$name" "$daemon" --config "$file"
  done
  for name in "${names[@]}"; do
    wait_for "http://${operators[$name]}/healthz"
  done
  echo "${#names[@]} instances: ${names[*]}"
}

# write_platform_list [LEAVING]: writes the list that the platform keeps of the instances in `names`.
write_platform_list() {
  local name status entries=()
  for name in "${names[@]}"; do
    status=live
    if [[ $name == "${1:-}" ]]; then status=leaving; fi
    entries+=("{\"instance\":\"$name\",\"data_centre\":\"${data_centres[$name]}\",\"peer_address\":\"${peers[$name]}\",\"operator_address\":\"${operators[$name]}\",\"status\":\"$status\"}")
  done
  local IFS=,
  platform_list="{\"instances\":[${entries[*]}]}"
  "${call[@]}" --fail --output /dev/null --request PUT --data "$platform_list" \
    "http://$store/kv/platform/instances"
}

# The platform's list lags by some seconds.
wait_for_platform_list() {
  local tries=$((start_limit_s * 10))
  until [[ $("${call[@]}" "http://$store/kv/platform/instances") == "$platform_list" ]]; do
    ((tries-- > 0)) || fail "the platform's list was not written within $start_limit_s s"
    sleep 0.1
  done
}

# publish SECTION FILE: gets a section accepted and waits until it is in force on all instances.
publish() {
  timeout 30 "$poplarctl" --store "$store" --deployment "$deployment" --follow write "$1" "$2"
}

print_revisions() {
  local name
  timeout 30 "$poplarctl" --store "$store" --deployment "$deployment" status
  for name in "${names[@]}"; do
    printf '%s in force: ' "$name"
    "${call[@]}" --fail "http://${operators[$name]}/v1/config/status"
    echo
  done
}

# search INSTANCE BODY: prints one search and the begin of its answer.
search() {
  printf 'search %s\n' "$2"
  local answer
  answer=$("${call[@]}" --fail --data "$2" "http://${callers[$1]}/v1/search")
  printf 'answer %s\n' "${answer:0:600}"
  [[ $answer == *'"complete":true'* ]] || fail "the answer is not complete"
}

# caller_addresses NAME...: the addresses for callers as a list with commas.
caller_addresses() {
  local name list=()
  for name in "$@"; do list+=("${callers[$name]}"); done
  local IFS=,
  echo "${list[*]}"
}

# load_command SECONDS ADDRESSES ARGUMENTS...: sets `load` to a run of loadgen on some instances.
load_command() {
  load=(timeout $(($1 + 60)) "$loadgen" --instances "$2" --duration-s "$1" --searchers "$searchers"
    --deadline-ms 2000 "${@:3}")
}

# Sum of the queries that the backend servers have counted.
backend_queries() {
  local urls=("${backend_addresses[@]/#/http://}")
  "${call[@]}" --fail "${urls[@]/%//counters}" |
    grep -o '"queries":[0-9]*' | awk -F: '{ sum += $2 } END { print sum }'
}

# begin_count, print_extra_load REPORT...: the queries of the backend servers between the two calls
# beyond one for each shard of the answers in the reports.
begin_count() { queries_before=$(backend_queries); }

print_extra_load() {
  local sent needed
  sent=$(($(backend_queries) - queries_before))
  needed=$(awk '$1 == "coverage" { sum += $4 } END { print sum }' "$@")
  awk -v sent="$sent" -v needed="$needed" 'BEGIN {
    printf "extra load: %d backend requests for %d shards, %.2f%%\n", sent, needed, 100 * (sent - needed) / needed }'
}

# check_load FILE ALLOWED: prints a report of loadgen and checks it. ALLOWED is the only kind of
# error that may occur, or `none`.
check_load() {
  cat "$1"
  grep -q '^broken promises: 0$' "$1" || fail "promises were broken"
  grep -Eq "^errors +(none|$2=[0-9]+)\$" "$1" || fail "requests failed"
  grep -q '^requests  sent=[1-9][0-9]* answered=[1-9]' "$1" || fail "nothing was answered"
}

run_load() {
  load_command "$1" "$(caller_addresses "${names[@]}")" "${@:2}"
  "${load[@]}" >"$work/load.log" || { cat "$work/load.log"; fail "loadgen ended with an error"; }
  check_load "$work/load.log" none
}

# end_load NAME: waits for a run of loadgen in the background.
end_load() {
  await "$1" $((leaving_s + 60)) || fail "$1 did not end"
  ((ended_with == 0)) || { cat "$work/$1.log"; fail "$1 ended with exit code $ended_with"; }
}

# Takes the second backend server of the first service out of service, as its team does.
drain_backend_server() {
  local name address
  read -r name address _ < <(list_backend_servers | sed -n 2p)
  echo "backend server $name leaves"
  "${call[@]}" --fail --data '{"draining":true}' "http://$address/control"
  echo
  printf '[instances]\n\n[backend servers]\n%s = leaving\n' "$name" >"$work/leaving.ini"
  publish leaving "$work/leaving.ini"
  leaving_server=$name
  leaving_address=$address
}

# set_latency SERVICE MICROSECONDS: how long the backend servers of a service execute a query.
set_latency() {
  local name address slots connections held all
  while read -r name address slots connections held all; do
    [[ $held == "$1":* ]] || continue
    "${call[@]}" --fail --output /dev/null --data "{\"latency_us\":$2}" "http://$address/control"
  done < <(list_backend_servers)
}

# start_slow_searches INSTANCE: searches that take much longer than the stop of an instance.
start_slow_searches() {
  local i body
  body="{\"searcher\":\"${searchers%%=*}\",\"services\":[\"$slow_service\"],\"query\":\"all\",\"deadline_ms\":15000}"
  for ((i = 1; i <= slow_searches; ++i)); do
    start "slow-$i" curl --silent --show-error --max-time 20 --fail --data "$body" "http://${callers[$1]}/v1/search"
  done
}

end_slow_searches() {
  local i
  for ((i = 1; i <= slow_searches; ++i)); do
    await "slow-$i" 20 || fail "a search in flight did not end"
    ((ended_with == 0)) || fail "a search in flight was interrupted: $(cat "$work/slow-$i.log")"
    grep -q '"complete":true' "$work/slow-$i.log" || fail "a search in flight was not complete"
  done
  echo "$slow_searches searches that were in flight during the stop have complete answers"
}

# Stops the last instance as the platform does: it is listed as leaving, then gets SIGTERM.
stop_instance() {
  local name=${names[-1]}
  set_latency "$slow_service" 500000
  start_slow_searches "$name"
  sleep 0.3
  echo "instance $name stops"
  write_platform_list "$name"
  kill -TERM "${process_ids[$name]}"
  end_slow_searches
  await "$name" "$stop_limit_s" || fail "instance $name did not stop within $stop_limit_s s"
  ((ended_with == 0)) || fail "instance $name ended with exit code $ended_with"
  set_latency "$slow_service" 1000
  unset 'names[-1]'
  write_platform_list
  echo "instance $name stopped with exit code 0"
}

# One load goes to the instances that stay: none of its requests may fail. The other goes to the
# instance that stops, also after its listener has closed: these requests must not have been sent.
run_load_while_leaving() {
  local leaving_name=${names[-1]}
  begin_count
  load_command "$leaving_s" "$(caller_addresses "${names[@]:0:${#names[@]}-1}")" --group "$group" --rate 75 --seed 2
  start load-staying "${load[@]}"
  load_command "$leaving_s" "$(caller_addresses "$leaving_name")" --group "$group" --rate 25 --seed 4
  start load-leaving "${load[@]}"
  sleep 3
  drain_backend_server
  sleep 3
  stop_instance
  end_load load-staying
  end_load load-leaving
  echo "load on the instances that stay:"
  check_load "$work/load-staying.log" none
  echo "load on instance $leaving_name, which stopped (not_sent: its listener had closed):"
  check_load "$work/load-leaving.log" not_sent
  print_extra_load "$work/load-staying.log" "$work/load-leaving.log"
  # It is stopped after the load, so that its counters can be read.
  kill -TERM "${process_ids[$leaving_server]}"
  await "$leaving_server" "$stop_limit_s" || fail "backend server $leaving_server did not stop"
  ((ended_with == 0)) || fail "backend server $leaving_server ended with exit code $ended_with"
  unset "backend_addresses[$(index_of "$leaving_address")]"
}

# index_of ADDRESS: its place in backend_addresses.
index_of() {
  local i
  for i in "${!backend_addresses[@]}"; do
    if [[ ${backend_addresses[$i]} == "$1" ]]; then echo "$i"; fi
  done
}

run_actions() {
  local url="http://${callers[${names[0]}]}/v1/actions" key body status
  status=$("${call[@]}" --output /dev/null --write-out '%{http_code}' --data '{}' "$url")
  if [[ $status == 404 ]]; then
    echo "actions: not available"
    return
  fi
  key="$(date +%s%3N)-demo"
  body="{\"searcher\":\"${searchers%%=*}\",\"service\":\"$action_service\",\"shard\":\"0\",\"request_key\":\"$key\",\"body\":\"demo\",\"deadline_ms\":2000}"
  echo "action $body"
  "${call[@]}" --fail --data "$body" "$url" | tee "$work/action.txt"
  echo
  grep -q '"executed"' "$work/action.txt" || fail "the action was not executed"
  echo "the same action through another instance"
  "${call[@]}" --fail --data "$body" "http://${callers[${names[1]}]}/v1/actions" | tee "$work/action.txt"
  echo
  grep -q '"already_executed"' "$work/action.txt" || fail "the repeated action was not recognised"
  run_load 5 --services "$action_service" --rate 40 --action-fraction 0.5 \
    --action-targets "$action_service:0,$action_service:1" --action-resends 2 --seed 3 --backends "$(IFS=,; echo "${backend_addresses[*]}")"
}

# run_deployment DEPLOYMENT GROUP SERVICE_WITH_ACTIONS SERVICE_FOR_SLOW_SEARCHES SEARCHERS
run_deployment() {
  deployment=$1 group=$2 action_service=$3 slow_service=$4 searchers=$5
  sections=settings/$deployment/sections
  local section
  say "$deployment: start"
  start_store
  start_backend_servers
  start_instances
  write_platform_list
  wait_for_platform_list
  say "$deployment: configuration"
  for section in shards shares leaving policy; do
    publish "$section" "$sections/$section.ini"
  done
  print_revisions
  say "$deployment: single searches"
  search "${names[0]}" "{\"searcher\":\"${searchers%%=*}\",\"services\":[\"$action_service\"],\"query\":\"all\",\"deadline_ms\":2000}"
  search "${names[1]}" "{\"searcher\":\"${searchers%%=*}\",\"group\":\"$group\",\"query\":\"key:17\",\"deadline_ms\":2000}"
  say "$deployment: load on group $group, steady"
  begin_count
  run_load "$steady_s" --group "$group" --rate 100 --seed 1
  print_extra_load "$work/load.log"
  say "$deployment: load on group $group while a backend server and an instance leave"
  run_load_while_leaving
  say "$deployment: one-time actions"
  run_actions
  say "$deployment: revisions in force at the end"
  wait_for_platform_list
  print_revisions
  end_all
}

if [[ ${1:-} != --no-build ]]; then
  scripts/install_packages.sh
  scripts/build.sh
fi
began=$SECONDS
run_deployment richelieu inspection billing dock-scheduling mill-north=1,mill-south=1,mill-east=1,mill-west=1
run_deployment bengal shed-desk pole-history committee-portal clerks=2,shed-keepers=2,village-committees=3
say "passed in $((SECONDS - began)) s: no broken promise, no request interrupted"
