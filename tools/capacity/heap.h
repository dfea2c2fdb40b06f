#pragma once

#include <cstdint>

namespace poplarfront::capacity {

/// Bytes that the C++ allocation functions have given out and not taken back, as malloc rounds
/// them. Only counts in a program that links heap.cpp.
[[nodiscard]] std::uint64_t heap_bytes();

/// The processor time of this process in seconds.
[[nodiscard]] double processor_seconds();

}  // namespace poplarfront::capacity
