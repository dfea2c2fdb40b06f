#include "metrics/counter_set.h"

namespace poplarfront::metrics {

std::uint64_t counter_snapshot::value(std::string_view name) const {
    const auto it = values.find(name);
    return it == values.end() ? 0 : it->second;
}

counter_snapshot merged(const counter_snapshot& a, const counter_snapshot& b) {
    auto result = a;
    for (const auto& [name, count] : b.values) {
        result.values[name] += count;
    }
    return result;
}

void counter_set::add(std::string_view name, std::uint64_t n) {
    const auto it = counts_.values.find(name);
    if (it != counts_.values.end()) {
        it->second += n;
    } else {
        counts_.values.emplace(name, n);
    }
}

}  // namespace poplarfront::metrics
