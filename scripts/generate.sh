#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs Debian's protobuf-compiler; the build does not.
set -euo pipefail
cd "$(dirname "$0")/../packages"
for name in peer claims; do
  protoc --cpp_out=. "wire/$name.proto"
  mv "wire/$name.pb.h" "wire/$name.pb.cc" wire/generated/
  sed -i "s|#include \"wire/$name.pb.h\"|#include \"wire/generated/$name.pb.h\"|" \
    "wire/generated/$name.pb.cc"
done
