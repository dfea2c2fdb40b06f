#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <optional>

#include "kernel/concepts.h"

namespace poplarfront::retry {

/// Estimates quantiles of recent latencies from a histogram with logarithmic buckets. All weights
/// are halved whenever their sum reaches `halving_count`, so that old observations lose weight. An
/// estimate is at most 19% above the true quantile within the range of the buckets. Not
/// thread-safe.
class latency_quantile {
public:
    void observe(kernel::duration latency) {
        weights_.at(bucket_of(latency)) += 1;
        total_ += 1;
        if (total_ >= halving_count) {
            halve();
        }
    }

    /// The latency that the given fraction of the observations does not exceed; absent while there
    /// are fewer than `min_observations`.
    [[nodiscard]] std::optional<kernel::duration> quantile(double fraction) const {
        if (total_ < min_observations) {
            return std::nullopt;
        }
        double below = 0;
        for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
            below += weights_.at(bucket);
            if (below >= fraction * total_) {
                return upper_bound(bucket);
            }
        }
        return upper_bound(bucket_count - 1);
    }

private:
    // 80 buckets, four per octave, cover 50 us to about 44 s.
    static constexpr std::size_t bucket_count = 80;
    static constexpr double buckets_per_octave = 4;
    static constexpr double first_bucket_us = 50;
    static constexpr double halving_count = 1000;
    static constexpr double min_observations = 20;

    static std::size_t bucket_of(kernel::duration latency) {
        const double us = std::chrono::duration<double, std::micro>(latency).count();
        if (us <= first_bucket_us) {
            return 0;
        }
        const double index = std::ceil(std::log2(us / first_bucket_us) * buckets_per_octave);
        return std::min(bucket_count - 1, static_cast<std::size_t>(index));
    }

    static kernel::duration upper_bound(std::size_t bucket) {
        const double us =
            first_bucket_us * std::exp2(static_cast<double>(bucket) / buckets_per_octave);
        return std::chrono::duration_cast<kernel::duration>(
            std::chrono::duration<double, std::micro>(us));
    }

    void halve() {
        total_ = 0;
        for (auto& weight : weights_) {
            weight /= 2;
            total_ += weight;
        }
    }

    std::array<double, bucket_count> weights_{};
    double total_ = 0;
};

}  // namespace poplarfront::retry
