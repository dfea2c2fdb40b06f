#pragma once

#include <optional>
#include <string>

#include "kernel/clock_and_random_sources.h"
#include "loadgen/load_options.h"

namespace poplarfront::loadgen {

/// One request before it is sent.
struct planned_request {
    /// Since the start of the run.
    std::chrono::microseconds at{0};
    /// Unique within the run.
    std::uint64_t number = 0;
    model::searcher_id searcher;
    std::string instance;
    /// Only for searches.
    std::string query;
    /// Only for actions.
    std::optional<model::shard_ref> action_target;
    friend auto operator<=>(const planned_request&, const planned_request&) = default;
};

/// The requests of a run in order of time; equal options give equal plans. Used by one thread.
class load_plan {
public:
    /// Precondition: there are instances and searchers, and action targets if there are actions.
    explicit load_plan(load_options options);

    /// Nothing after the end of the run.
    std::optional<planned_request> next();

private:
    [[nodiscard]] double rate_of(const searcher_load& load, std::chrono::microseconds at) const;
    [[nodiscard]] double total_rate(std::chrono::microseconds at) const;
    [[nodiscard]] const searcher_load& choose_searcher();
    planned_request make_request(const searcher_load& load);

    load_options options_;
    kernel::seeded_random_source random_;
    double total_weight_ = 0.0;
    double highest_rate_ = 0.0;
    std::chrono::microseconds at_{0};
    std::uint64_t planned_ = 0;
};

}  // namespace poplarfront::loadgen
