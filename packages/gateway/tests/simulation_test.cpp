#include <catch2/catch.hpp>
#include <map>
#include <queue>
#include <set>

#include "fixture.h"
#include "support/environment.h"

namespace poplarfront::gateway {
namespace {

using test_support::number_from_environment;

/// Runs one request against backend servers that fail at random, and checks the invariants of the
/// answer.
class random_request {
public:
    random_request(traffic_state& state, const fleet& fleet, const route& wanted,
                   std::uint64_t seed)
        : random_(seed),
          route_(wanted),
          session_(state, transport_, fleet.published(), route_, request_with_fingerprint(seed)) {}

    void run() {
        session_.start(now_);
        schedule_results();
        while (true) {
            const auto timer = session_.next_timer();
            if (results_.empty() && !timer) {
                break;
            }
            if (!results_.empty() && (!timer || results_.top().at <= *timer)) {
                const auto next = results_.top();
                results_.pop();
                now_ = std::max(now_, next.at);
                session_.on_result(next.attempt, next.result, now_);
            } else {
                now_ = std::max(now_, *timer);
                session_.on_timer(now_);
            }
            schedule_results();
        }
        check_invariants();
    }

private:
    struct pending_result {
        kernel::time_point at;
        attempt_number attempt = 0;
        attempt_result result;
        bool operator<(const pending_result& other) const { return at > other.at; }
    };

    static client_request request_with_fingerprint(std::uint64_t seed) {
        auto it = request();
        it.fingerprint = seed;
        return it;
    }

    void schedule_results() {
        end_probes(session_, transport_, random_.next() % 2 == 0, now_);
        for (; scheduled_count_ < transport_.sent.size(); ++scheduled_count_) {
            const auto& sent = transport_.sent[scheduled_count_];
            servers_[sent.service].insert(sent.server);
            const auto [delay, result] = random_result(sent.attempt);
            execution_count_ +=
                result.end != attempt_end::not_sent &&
                        (result.end != attempt_end::replied || result.reply.executed)
                    ? 1
                    : 0;
            results_.push({now_ + delay, sent.attempt, result});
        }
    }

    std::pair<milliseconds, attempt_result> random_result(attempt_number attempt) {
        const auto delay = milliseconds{1 + random_.next() % 30};
        const auto signature = "part" + std::to_string(attempt);
        constexpr std::uint64_t kinds = 12;
        switch (random_.next() % kinds) {
            case 0:
                return {delay, reply_with_status(503, false)};
            case 1:
                return {delay, ended(attempt_end::lost)};
            case 2:
                return {delay, ended(attempt_end::not_sent)};
            case 3:
                return {milliseconds{700}, ended(attempt_end::timed_out)};
            case 4:
                return {delay, reply_with_status(500, true)};
            case 5:
                return {milliseconds{150}, success(signature)};
            default:
                return {delay, success(signature)};
        }
    }

    void check_invariants() {
        REQUIRE(transport_.answers.size() == 1);
        const auto& answer = transport_.answers.front();
        for (const auto& [service, servers] : servers_) {
            // Backend servers that were not reached do not count as attempts, so that there may be
            // more of them than max_attempts.
            REQUIRE(servers.size() <= 4);
        }
        if (answer.kind == answer_kind::gathered) {
            const auto shards = std::get<gather_plan>(route_.target).shards->size();
            REQUIRE(answer.signatures.size() + answer.missing == shards);
            REQUIRE(static_cast<double>(answer.signatures.size()) >=
                    std::get<gather_plan>(route_.target).min_coverage *
                            static_cast<double>(shards) -
                        1e-9);
            const std::set<std::string> distinct{answer.signatures.begin(),
                                                 answer.signatures.end()};
            REQUIRE(distinct.size() == answer.signatures.size());
        }
        if (answer.kind == answer_kind::not_run) {
            REQUIRE(execution_count_ == 0);
        }
        if (route_.kind == retry_safety::at_most_once) {
            REQUIRE(execution_count_ <= 1);
        }
    }

    kernel::seeded_random_source random_;
    route route_;
    fake_transport transport_;
    session session_;
    kernel::time_point now_ = start_time;
    std::priority_queue<pending_result> results_;
    std::size_t scheduled_count_ = 0;
    std::size_t execution_count_ = 0;
    std::map<std::string, std::set<std::string>> servers_;
};

TEST_CASE("random failures do not violate the invariants of an answer") {
    const auto runs = number_from_environment("POPLARFRONT_RUNS", 3000);
    const auto first_seed = number_from_environment("POPLARFRONT_SEED", 1);
    fleet fleet{8, 2};
    auto once = fleet.single;
    once.kind = retry_safety::at_most_once;
    traffic_state state{test_options(), first_seed};
    for (std::uint64_t it = 0; it < runs; ++it) {
        const auto seed = first_seed + it;
        INFO("seed " << seed);
        random_request{state, fleet, fleet.gather, seed}.run();
        random_request{state, fleet, fleet.single, seed}.run();
        random_request{state, fleet, once, seed}.run();
    }
}

}  // namespace
}  // namespace poplarfront::gateway
