#pragma once

#include <cstdint>
#include <string>

namespace poplarfront::admission_measure {

/// Compares the turn policies: bursty searchers at their share, with and without a surge of
/// another. Returns a table as text.
std::string measure_shares(std::uint64_t seed);

/// Compares the limit policies in front of a tier that loses three quarters of its slots for a
/// while. Returns a table as text.
std::string measure_limits(std::uint64_t seed);

}  // namespace poplarfront::admission_measure
