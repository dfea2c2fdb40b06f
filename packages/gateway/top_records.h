#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace poplarfront::gateway {

/// Size of a record in bytes.
inline constexpr std::size_t record_bytes = 16;

/// The `count` greatest records of all parts, greatest first, compared byte by byte; equal records
/// all count. A rest of a part that is shorter than a record is left out. Thread-safe.
std::string top_records(const std::vector<std::string_view>& parts, std::size_t count);

}  // namespace poplarfront::gateway
