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

/// Builds a page of metrics in the text exposition format. Not thread-safe.
class exposition {
public:
    /// One counter for each name of `counts`, as values of the label `label` of one metric.
    void counters(std::string_view name, std::string_view help, std::string_view label,
                  const counter_snapshot& counts);
    void counter(std::string_view name, std::string_view help, std::uint64_t value);
    void gauge(std::string_view name, std::string_view help, std::uint64_t value);
    /// A histogram in seconds.
    void histogram(std::string_view name, std::string_view help, const latency_snapshot& latency);

    [[nodiscard]] const std::string& text() const { return text_; }

private:
    void describe(std::string_view name, std::string_view help, std::string_view type);

    std::string text_;
};

/// The metrics of a process. Modules add theirs when they are created.
///
/// Thread safety: `add` is called on the main thread before modules start; afterwards `page` may be
/// called from any one thread. Each source must be safe to call from there.
class metrics_registry {
public:
    using source = std::function<void(exposition&)>;

    void add(source source) { sources_.push_back(std::move(source)); }

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
