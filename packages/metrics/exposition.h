#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "metrics/counter_set.h"
#include "metrics/latency_snapshot.h"

namespace poplarfront::metrics {

/// Builds metrics in the text exposition format of Prometheus. Not thread-safe.
class exposition {
public:
    /// One metric with a counter for each name in `counts`; the name becomes the value of `label`.
    void counters(std::string_view name, std::string_view help, std::string_view label,
                  const counter_snapshot& counts);
    void counter(std::string_view name, std::string_view help, std::uint64_t value);
    void gauge(std::string_view name, std::string_view help, std::uint64_t value);
    /// A histogram whose bucket bounds and sum are in seconds.
    void histogram(std::string_view name, std::string_view help, const latency_snapshot& latency);

    [[nodiscard]] const std::string& text() const { return text_; }

private:
    void add_header(std::string_view name, std::string_view help, std::string_view type);

    std::string text_;
};

/// The sources of the metrics of a process. Modules add their sources when they are created.
///
/// Thread safety: `add` is called on the main thread before modules start; afterwards `page` is
/// called on one thread, which may be another one. Each source must be safe to call there.
class metrics_registry {
public:
    using source = std::function<void(exposition&)>;

    void add(source source) { sources_.push_back(std::move(source)); }

    /// The metrics of all sources in the text exposition format.
    [[nodiscard]] std::string page() const {
        exposition built;
        for (const auto& it : sources_) {
            it(built);
        }
        return built.text();
    }

private:
    std::vector<source> sources_;
};

}  // namespace poplarfront::metrics
