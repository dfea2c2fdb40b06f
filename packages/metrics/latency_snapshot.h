#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

namespace poplarfront::metrics {

/// Range of the logarithmic axis. Latencies outside it are counted in an underflow bin and an
/// overflow bin.
inline constexpr std::chrono::microseconds min_latency{100};
inline constexpr std::chrono::microseconds max_latency{60'000'000};
/// Neighbouring bin edges differ by 5.3%, which bounds the error of a quantile between min_latency
/// and max_latency.
inline constexpr std::size_t latency_bins = 256;

/// The counts of a latency histogram at one point in time. Immutable.
struct latency_snapshot {
    /// The underflow bin, the `latency_bins` bins in ascending order, and the overflow bin; empty
    /// if nothing was recorded.
    std::vector<std::uint64_t> counts;
    std::uint64_t total = 0;
    std::chrono::microseconds sum{0};
    std::chrono::microseconds largest{0};

    /// An estimate of the quantile `q` in [0, 1]; zero if nothing was recorded.
    [[nodiscard]] std::chrono::microseconds quantile(double q) const;
    /// Zero if nothing was recorded.
    [[nodiscard]] std::chrono::microseconds mean() const;
    friend auto operator<=>(const latency_snapshot&, const latency_snapshot&) = default;
};

/// The histogram of all latencies that either of them counts.
[[nodiscard]] latency_snapshot merged(const latency_snapshot& a, const latency_snapshot& b);

}  // namespace poplarfront::metrics
