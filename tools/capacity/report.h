#pragma once

#include <string>
#include <vector>

#include "capacity/fit.h"
#include "capacity/measurement.h"

namespace poplarfront::capacity {

/// A measurement's samples and what was fitted to them.
struct measured {
    std::string name;
    std::string description;
    std::vector<sample> samples;
    std::map<std::string, fitted_figure> fits;
};

/// Plain text with one line a sample and one line a fitted figure.
std::string to_table(const measured& from);

std::string to_json(const std::vector<measured>& all);

}  // namespace poplarfront::capacity
