#pragma once

#include "loadgen/answer_check.h"
#include "loadgen/load_report.h"

namespace poplarfront::loadgen {

/// Collects the results of a run. Used by one thread.
class load_statistics {
public:
    void on_sent(const std::string& searcher);
    void on_answer(const expected_answer& expected, const received_answer& answer,
                   kernel::duration latency, bool late);
    void on_outcome(const std::string& searcher, const std::string& status,
                    kernel::duration latency, bool late);
    void on_refused(const std::string& searcher, const received_refusal& refusal);
    /// A request without an answer, or one that was not sent because too many were under way.
    void on_error(const std::string& searcher, std::string_view type);
    void on_broken(const std::string& promise);

    /// `backend_queries` and `seconds` are those of the whole run.
    [[nodiscard]] load_report report(std::uint64_t backend_queries, double seconds) const;

private:
    void count_answered(const std::string& searcher, kernel::duration latency, bool late);

    load_report totals_;
    metrics::latency_histogram latency_;
    metrics::counter_set refused_;
    metrics::counter_set errors_;
    metrics::counter_set action_statuses_;
};

}  // namespace poplarfront::loadgen
