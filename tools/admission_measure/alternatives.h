#pragma once

#include <algorithm>
#include <cmath>

#include "admission/concurrency_limit.h"
#include "admission/queueing_policy.h"

namespace poplarfront::admission_measure {

/// The plain token bucket: refuses when it is empty. Not used by the tier.
struct refuse_when_empty {
    static constexpr bool uses_spare_capacity = false;

    static std::optional<kernel::duration> guaranteed_wait(double balance, double /*rate*/) {
        return balance >= 0 ? std::optional{kernel::duration::zero()} : std::nullopt;
    }
};
static_assert(admission::queueing_policy<refuse_when_empty>);

/// Compares recent latencies with the latency without load: the limit shrinks in proportion as
/// latencies rise, and grows while they do not. Not used by the tier.
class gradient_limit {
public:
    double next(double limit, std::uint32_t in_flight, const admission::limit_sample& sample) {
        ++samples_;
        sheds_ += sample.shed ? 1 : 0;
        if (!sample.shed) {
            constexpr double smoothing = 0.05;
            const double us = std::chrono::duration<double, std::micro>(sample.latency).count();
            recent_us_ += (recent_us_ == 0.0 ? 1.0 : smoothing) * (us - recent_us_);
        }
        // One decision per round trip: as many samples as there are requests under way.
        constexpr std::uint32_t least_samples = 4;
        return samples_ < std::max(in_flight, least_samples) ? limit : decide(limit, in_flight);
    }

private:
    double decide(double limit, std::uint32_t in_flight) {
        constexpr double most_sheds = 0.02;
        const bool shed = sheds_ > most_sheds * samples_;
        samples_ = 0;
        sheds_ = 0;
        // Of the values tried between 1.00002 and 1.002 this drift gave the most goodput without
        // sheds.
        constexpr double drift = 1.0002;
        unloaded_us_ =
            unloaded_us_ == 0.0 ? recent_us_ : std::min(unloaded_us_ * drift, recent_us_);
        constexpr double tolerance = 1.5;
        constexpr double least_gradient = 0.5;
        constexpr double shed_gradient = 0.9;
        const double gradient = recent_us_ > 0.0 ? tolerance * unloaded_us_ / recent_us_ : 1.0;
        const double bounded = std::clamp(gradient, least_gradient, 1.0);
        if (shed) {
            return limit * std::min(bounded, shed_gradient);
        }
        constexpr double step = 0.2;
        const bool used = static_cast<double>(in_flight) >= limit / 2;
        const double headroom = used ? std::sqrt(limit) : 0.0;
        return limit + step * (limit * bounded + headroom - limit);
    }

    double recent_us_ = 0.0;
    double unloaded_us_ = 0.0;
    std::uint32_t samples_ = 0;
    std::uint32_t sheds_ = 0;
};
static_assert(admission::limit_policy<gradient_limit>);

}  // namespace poplarfront::admission_measure
