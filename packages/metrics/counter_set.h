#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace poplarfront::metrics {

/// Counter values by name at one point in time. Immutable.
struct counter_snapshot {
    std::map<std::string, std::uint64_t, std::less<>> values;

    /// Zero if the name was never counted.
    [[nodiscard]] std::uint64_t value(std::string_view name) const;
    friend auto operator<=>(const counter_snapshot&, const counter_snapshot&) = default;
};

/// The sum of both values for each name.
[[nodiscard]] counter_snapshot merged(const counter_snapshot& a, const counter_snapshot& b);

/// Counts events by name.
///
/// Not thread-safe: each thread has its own counter set, and the snapshots are merged.
class counter_set {
public:
    void add(std::string_view name, std::uint64_t n = 1);
    /// The current counts. Later calls of `add` change the object referred to; copy it to keep it.
    [[nodiscard]] const counter_snapshot& snapshot() const { return counts_; }

private:
    counter_snapshot counts_;
};

}  // namespace poplarfront::metrics
