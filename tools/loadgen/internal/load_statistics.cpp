#include "loadgen/load_statistics.h"

namespace poplarfront::loadgen {

void load_statistics::on_sent(const std::string& searcher) {
    ++totals_.sent;
    ++totals_.searchers[searcher].sent;
}

void load_statistics::on_answer(const expected_answer& expected, const received_answer& answer,
                                kernel::duration latency, bool late) {
    count_answered(expected.searcher, latency, late);
    totals_.complete += answer.complete ? 1 : 0;
    totals_.covered_shards += answer.covered.size();
    totals_.missing_shards += answer.missing.size();
    for (const auto& it : broken_promises(expected, answer)) {
        on_broken("request " + expected.request + ": " + it);
    }
}

void load_statistics::on_outcome(const std::string& searcher, const std::string& status,
                                 kernel::duration latency, bool late) {
    count_answered(searcher, latency, late);
    action_statuses_.add(status);
}

void load_statistics::on_refused(const std::string& searcher, const received_refusal& refusal) {
    ++totals_.searchers[searcher].refused;
    refused_.add(refusal.type);
    if (!refusal.not_run) {
        on_broken("a refusal of type " + refusal.type + " does not say that nothing ran");
    }
}

void load_statistics::on_error(const std::string& searcher, std::string_view type) {
    ++totals_.searchers[searcher].failed;
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

void load_statistics::count_answered(const std::string& searcher, kernel::duration latency,
                                     bool late) {
    ++totals_.answered;
    ++totals_.searchers[searcher].answered;
    totals_.late += late ? 1 : 0;
    latency_.record(latency);
}

}  // namespace poplarfront::loadgen
