#!/usr/bin/env bash
# Writes the settings of the two example deployments: settings/DEPLOYMENT/instances/*.ini, one file
# for each instance, and settings/DEPLOYMENT/sections/*.ini, the shared configuration. All addresses
# are loopback addresses, one for each instance and backend server, so that a whole deployment runs
# on one machine.
set -euo pipefail
cd "$(dirname "$0")/../settings"

# write_server SECTION_FILE NAME ADDRESS DATA_CENTRE SLOTS CONNECTIONS
write_server() {
  printf '[server %s]\naddress = %s\ndata_centre = %s\nslots = %s\nconnections = %s\n\n' "${@:2}" >>"$1"
}

# Two backend servers for each service of a group; both hold its one shard.
# write_pairs FILE GROUP SERVICES NETWORK DATA_CENTRES...
write_pairs() {
  local file=$1 group=$2 services=$3 network=$4
  local data_centres=("${@:5}")
  local i name
  for ((i = 1; i <= services; ++i)); do
    name=$(printf '%s-%02d' "$group" "$i")
    write_server "$file" "$name-a" "$network.$i.1:9000" "${data_centres[$((i % ${#data_centres[@]}))]}" 2 55
    write_server "$file" "$name-b" "$network.$i.2:9000" "${data_centres[$(((i + 1) % ${#data_centres[@]}))]}" 2 55
    printf '[service %s]\ngroup = %s\nshard.0 = %s-a %s-b\n\n' "$name" "$group" "$name" "$name" >>"$file"
  done
}

# One service over N backend servers; shard i is on servers i and i + 1, so each has two replicas.
# write_ring FILE SERVICE SERVERS NETWORK SLOTS CONNECTIONS DATA_CENTRES...
write_ring() {
  local file=$1 service=$2 servers=$3 network=$4 slots=$5 connections=$6
  local data_centres=("${@:7}")
  local i
  for ((i = 1; i <= servers; ++i)); do
    write_server "$file" "$service-$i" "$network.0.$i:9000" "${data_centres[$((i % ${#data_centres[@]}))]}" "$slots" "$connections"
  done
  printf '[service %s]\n' "$service" >>"$file"
  for ((i = 1; i <= servers; ++i)); do
    printf 'shard.%d = %s-%d %s-%d\n' "$((i - 1))" "$service" "$i" "$service" "$((i % servers + 1))" >>"$file"
  done
  printf '\n' >>"$file"
}

# write_instances DEPLOYMENT COUNT NETWORK STORE DATA_CENTRES...
write_instances() {
  local deployment=$1 count=$2 network=$3 store=$4
  local data_centres=("${@:5}")
  local i name
  mkdir -p "$deployment/instances"
  rm -f "$deployment"/instances/*.ini
  for ((i = 1; i <= count; ++i)); do
    name=$(printf '%s-%02d' "$deployment" "$i")
    cat >"$deployment/instances/$name.ini" <<INI
[instance]
name = $name
data_centre = ${data_centres[$((i % ${#data_centres[@]}))]}
deployment = $deployment

[listen]
callers = $network.$i:8000
peers = $network.$i:8001
operators = $network.$i:8002

[store]
address = $store

[peers]
seeds = $deployment-01@$network.1:8001, $deployment-02@$network.2:8001, $deployment-03@$network.3:8001
INI
  done
}

richelieu=(crack-hall sort-wing dock-shed office-annex)
mkdir -p richelieu/sections bengal/sections
file=richelieu/sections/shards.ini
: >"$file"
write_pairs "$file" inspection 20 127.11 "${richelieu[@]}"
write_pairs "$file" grower-portal 30 127.12 "${richelieu[@]}"
write_ring "$file" billing 8 127.13 2 230 "${richelieu[@]}"
write_ring "$file" dock-scheduling 4 127.14 2 230 "${richelieu[@]}"
write_instances richelieu 17 127.10.0 127.10.255.1:7000 "${richelieu[@]}"

bengal=(howrah nadia hooghly)
file=bengal/sections/shards.ini
: >"$file"
write_pairs "$file" shed-desk 20 127.21 "${bengal[@]}"
write_pairs "$file" loan-book 30 127.22 "${bengal[@]}"
write_ring "$file" pole-history 5 127.23 6 100 "${bengal[@]}"
write_ring "$file" committee-portal 3 127.24 6 100 "${bengal[@]}"
write_instances bengal 17 127.20.0 127.20.255.1:7000 "${bengal[@]}"
