#pragma once

#include <map>
#include <string>
#include <vector>

#include "capacity/measurement.h"

namespace poplarfront::capacity {

/// A least-squares fit of one figure: `base` plus the sum of slope times term.
struct fitted_figure {
    double base = 0;
    std::map<std::string, double> slopes;
    /// The largest difference between a sample and the fit.
    double max_error = 0;
    friend auto operator<=>(const fitted_figure&, const fitted_figure&) = default;
};

/// Fits every figure of the samples. Terms that do not vary enough get the slope 0.
std::map<std::string, fitted_figure> fit(const std::vector<sample>& samples,
                                         const std::vector<std::string>& terms);

}  // namespace poplarfront::capacity
