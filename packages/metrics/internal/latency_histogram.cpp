#include "metrics/latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace poplarfront::metrics {
namespace {

namespace bh = boost::histogram;
using std::chrono::microseconds;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto make_counts() {
    return bh::make_histogram_with(
        std::vector<std::uint64_t>(),
        latency_axis{latency_bins, static_cast<double>(min_latency.count()),
                     static_cast<double>(max_latency.count())});
}

}  // namespace

class latency_histogram::implementation {
public:
    void record(microseconds latency) {
        counts_(static_cast<double>(latency.count()));
        ++total_;
        sum_ += latency;
        largest_ = std::max(largest_, latency);
    }

    [[nodiscard]] latency_snapshot snapshot() const {
        latency_snapshot result{{}, total_, sum_, largest_};
        if (total_ > 0) {
            for (const auto& bin : bh::indexed(counts_, bh::coverage::all)) {
                result.counts.push_back(*bin);
            }
        }
        return result;
    }

private:
    decltype(make_counts()) counts_ = make_counts();
    std::uint64_t total_ = 0;
    microseconds sum_{0};
    microseconds largest_{0};
};

latency_histogram::latency_histogram() : implementation_(std::make_unique<implementation>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::record(kernel::duration latency) {
    // The logarithmic axis has no bin for zero or negative values.
    const auto whole_microseconds = std::chrono::duration_cast<microseconds>(latency);
    implementation_->record(std::max(whole_microseconds, microseconds{1}));
}

latency_snapshot latency_histogram::snapshot() const {
    return implementation_->snapshot();
}

void latency_histogram::clear() {
    implementation_ = std::make_unique<implementation>();
}

}  // namespace poplarfront::metrics
