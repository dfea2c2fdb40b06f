#include "metrics/latency_snapshot.h"

#include <algorithm>
#include <cmath>

namespace poplarfront::metrics {
namespace {

using std::chrono::microseconds;

/// The latency at a position on the logarithmic axis, measured in bins from its lower end.
microseconds latency_at(double position) {
    const auto low = static_cast<double>(min_latency.count());
    const auto high = static_cast<double>(max_latency.count());
    const double exponent = position / static_cast<double>(latency_bins);
    return microseconds{std::llround(low * std::pow(high / low, exponent))};
}

}  // namespace

microseconds latency_snapshot::quantile(double q) const {
    if (total == 0) {
        return microseconds{0};
    }
    const double rank = std::clamp(q, 0.0, 1.0) * static_cast<double>(total);
    double count_below = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const auto count = static_cast<double>(counts[i]);
        if (count == 0 || count_below + count < rank) {
            count_below += count;
            continue;
        }
        if (i == 0) {
            return std::min(min_latency, largest);
        }
        if (i > latency_bins) {
            return largest;
        }
        const double fraction_of_bin = (rank - count_below) / count;
        return std::min(latency_at(static_cast<double>(i - 1) + fraction_of_bin), largest);
    }
    return largest;
}

microseconds latency_snapshot::mean() const {
    if (total == 0) {
        return microseconds{0};
    }
    return sum / static_cast<std::int64_t>(total);
}

latency_snapshot merged(const latency_snapshot& a, const latency_snapshot& b) {
    auto result = a;
    result.counts.resize(std::max(a.counts.size(), b.counts.size()));
    for (std::size_t i = 0; i < b.counts.size(); ++i) {
        result.counts[i] += b.counts[i];
    }
    result.total += b.total;
    result.sum += b.sum;
    result.largest = std::max(a.largest, b.largest);
    return result;
}

}  // namespace poplarfront::metrics
