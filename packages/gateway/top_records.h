#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace poplarfront::gateway {

/// Size of a record in bytes.
inline constexpr std::size_t record_bytes = 16;

/// Merges the parts of a gather: returns the `count` greatest records of all parts in descending
/// order. Records are compared byte by byte as unsigned values, and duplicates are kept. Trailing
/// bytes of a part that are shorter than a record are ignored. Thread-safe.
std::string top_records(const std::vector<std::string_view>& parts, std::size_t count);

}  // namespace poplarfront::gateway
