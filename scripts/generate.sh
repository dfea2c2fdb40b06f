#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs Debian's protobuf-compiler; the build does not.
set -euo pipefail
cd "$(dirname "$0")/../packages"
protoc --cpp_out=. wire/peer.proto
mv wire/peer.pb.h wire/peer.pb.cc wire/generated/
sed -i 's|#include "wire/peer.pb.h"|#include "wire/generated/peer.pb.h"|' wire/generated/peer.pb.cc
