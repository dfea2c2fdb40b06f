#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kernel/extension_point.h"

namespace poplarfront::capacity {

/// The sizes to measure at.
struct capacity_options {
    std::vector<std::uint64_t> instances;
    std::vector<std::uint64_t> servers;
    /// Instances replaced a day.
    std::vector<std::uint64_t> changes;
    /// Virtual seconds of each measurement.
    std::uint64_t seconds = 60;
    std::uint64_t seed = 1;
    friend auto operator<=>(const capacity_options&, const capacity_options&) = default;
};

/// What was measured at one size.
struct sample {
    std::map<std::string, double> sizes;
    std::map<std::string, double> figures;
    friend auto operator<=>(const sample&, const sample&) = default;
};

/// One measurement of the control work. A source file adds its own with a static
/// `kernel::extension_point<measurement>::registration`.
struct measurement {
    std::string name;
    std::string description;
    /// The sizes that the figures are fitted to as a linear sum. Names joined by '*' are a product.
    std::vector<std::string> terms;
    std::function<std::vector<sample>(const capacity_options&)> run;
};

}  // namespace poplarfront::capacity
