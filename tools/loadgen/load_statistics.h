#pragma once

#include "loadgen/answer_check.h"
#include "loadgen/load_report.h"

namespace poplarfront::loadgen {

/// Whose request it is, and whether it was planned during the surge.
struct request_origin {
    std::string searcher;
    bool in_surge = false;
    friend auto operator<=>(const request_origin&, const request_origin&) = default;
};

/// When an answer arrived.
struct answer_time {
    kernel::duration latency{0};
    bool late = false;
    friend auto operator<=>(const answer_time&, const answer_time&) = default;
};

/// Collects the results of a run. Used by one thread.
class load_statistics {
public:
    void on_sent(const request_origin& origin);
    void on_answer(const request_origin& origin, const expected_answer& expected,
                   const received_answer& answer, const answer_time& time);
    void on_outcome(const request_origin& origin, const std::string& status,
                    const answer_time& time);
    void on_refused(const request_origin& origin, const received_refusal& refusal);
    /// A request without an answer, or one that was not sent because too many were under way.
    void on_error(const request_origin& origin, std::string_view type);
    /// An error that belongs to no request.
    void on_error(std::string_view type);
    void on_broken(const std::string& promise);

    /// `backend_queries` and `seconds` are those of the whole run.
    [[nodiscard]] load_report report(std::uint64_t backend_queries, double seconds) const;

private:
    /// Applies `count` to the results that the request belongs to.
    template <class Count>
    void count(const request_origin& origin, Count count);
    void count_answered(const request_origin& origin, const answer_time& time);

    load_report totals_;
    metrics::latency_histogram latency_;
    metrics::counter_set refused_;
    metrics::counter_set errors_;
    metrics::counter_set action_statuses_;
};

}  // namespace poplarfront::loadgen
