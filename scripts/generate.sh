#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs Debian's protobuf-compiler; the build does not.
set -euo pipefail
cd "$(dirname "$0")/../packages"
for file in wire/*.proto; do
  name=$(basename "$file" .proto)
  protoc --cpp_out=. "wire/$name.proto"
  mv "wire/$name.pb.h" "wire/$name.pb.cc" wire/generated/
  sed -i "s|#include \"wire/$name.pb.h\"|#include \"wire/generated/$name.pb.h\"|" "wire/generated/$name.pb.cc"
  # clang-tidy checks headers wherever they are included; generated ones are not ours to change.
  sed -i -e '1i // NOLINTBEGIN' -e '$a // NOLINTEND' "wire/generated/$name.pb.h"
done
