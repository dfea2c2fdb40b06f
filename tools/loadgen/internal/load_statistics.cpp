#include "loadgen/load_statistics.h"

namespace poplarfront::loadgen {

template <class Count>
void load_statistics::count(const request_origin& origin, Count count) {
    count(totals_.searchers[origin.searcher]);
    if (origin.in_surge) {
        count(totals_.searchers_in_surge[origin.searcher]);
    }
}

void load_statistics::on_sent(const request_origin& origin) {
    ++totals_.sent;
    count(origin, [](searcher_result& it) { ++it.sent; });
}

void load_statistics::on_answer(const request_origin& origin, const expected_answer& expected,
                                const received_answer& answer, const answer_time& time) {
    count_answered(origin, time);
    totals_.complete += answer.complete ? 1 : 0;
    totals_.covered_shards += answer.covered.size();
    totals_.missing_shards += answer.missing.size();
    for (const auto& it : broken_promises(expected, answer)) {
        on_broken("request " + expected.request + ": " + it);
    }
}

void load_statistics::on_outcome(const request_origin& origin, const std::string& status,
                                 const answer_time& time) {
    count_answered(origin, time);
    action_statuses_.add(status);
}

void load_statistics::on_refused(const request_origin& origin, const received_refusal& refusal) {
    count(origin, [](searcher_result& it) { ++it.refused; });
    refused_.add(refusal.type);
    if (!refusal.not_run) {
        on_broken("a refusal of type " + refusal.type + " does not say that nothing ran");
    }
}

void load_statistics::on_error(const request_origin& origin, std::string_view type) {
    count(origin, [](searcher_result& it) { ++it.failed; });
    on_error(type);
}

void load_statistics::on_error(std::string_view type) {
    errors_.add(type);
}

void load_statistics::on_broken(const std::string& promise) {
    constexpr std::size_t max_examples = 10;
    ++totals_.broken_promises;
    if (totals_.broken_examples.size() < max_examples) {
        totals_.broken_examples.push_back(promise);
    }
}

load_report load_statistics::report(std::uint64_t backend_queries, double seconds) const {
    auto result = totals_;
    result.latency = latency_.snapshot();
    result.refused_by_type = refused_.snapshot();
    result.errors = errors_.snapshot();
    result.action_statuses = action_statuses_.snapshot();
    result.backend_queries = backend_queries;
    result.seconds = seconds;
    return result;
}

void load_statistics::count_answered(const request_origin& origin, const answer_time& time) {
    ++totals_.answered;
    totals_.late += time.late ? 1 : 0;
    latency_.record(time.latency);
    count(origin, [&](searcher_result& it) {
        ++it.answered;
        it.in_time += time.late ? 0 : 1;
    });
}

}  // namespace poplarfront::loadgen
