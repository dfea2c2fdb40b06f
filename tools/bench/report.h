#pragma once

#include <string>
#include <vector>

#include "bench/run_types.h"

namespace poplarfront::bench {

/// One line of the table.
struct measured_run {
    std::string workload;
    scenario which = scenario::steady;
    /// direct, owned or baseline.
    std::string policy;
    double capacity_per_s = 0;
    run_result result;
    friend bool operator==(const measured_run&, const measured_run&) = default;
};

/// One target of section 2.4 of the design page, with the figures that decide it.
struct target_check {
    std::string workload;
    std::string target;
    std::string figures;
    bool met = false;
    friend auto operator<=>(const target_check&, const target_check&) = default;
};

[[nodiscard]] std::string table_header();
[[nodiscard]] std::string to_line(const measured_run& run);
/// Missing shards and refused requests by reason; empty for the baseline.
[[nodiscard]] std::string to_details(const measured_run& run);
/// Compares the runs of the policy `direct` with the targets.
[[nodiscard]] std::vector<target_check> check_targets(const std::vector<measured_run>& runs);
[[nodiscard]] std::string to_line(const target_check& check);
[[nodiscard]] std::string to_json(const std::vector<measured_run>& runs,
                                  const std::vector<target_check>& checks);

}  // namespace poplarfront::bench
