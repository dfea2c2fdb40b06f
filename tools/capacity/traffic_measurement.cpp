#include <algorithm>
#include <array>
#include <map>

#include "capacity/heap.h"
#include "capacity/measurement.h"
#include "kernel/clock_and_random_sources.h"
#include "routing/batch_call.h"
#include "routing/query_session.h"
#include "routing/routing_state.h"
#include "wire/backend_json.h"
#include "wire/envelope.h"
#include "wire/traffic_codec.h"

namespace poplarfront::capacity {
namespace {

using namespace routing;

constexpr std::uint32_t queries = 200;
constexpr std::uint32_t warm_up = 20;
constexpr std::chrono::milliseconds time_limit{120};
constexpr double microseconds_per_second = 1e6;

struct batch_outbox {
    std::vector<sub_query_batch> sent;
    void send(const model::instance_id&, const sub_query_batch& batch) { sent.push_back(batch); }
    void cancel(const model::instance_id&, const sub_query_batch&) {}
};

struct attempt_outbox {
    std::vector<model::shard_attempt> sent;
    void send(const model::shard_attempt& attempt) { sent.push_back(attempt); }
    void cancel(const model::shard_attempt&) {}
};

struct fixed_planner {
    query_plan planned;
    query_plan plan(const model::search_request&) const { return planned; }
};

query_plan make_plan(std::uint64_t shards, std::uint64_t group_size) {
    query_plan plan{{{1}, {7}}, {}};
    for (std::uint64_t n = 0; n < shards; ++n) {
        if (n % group_size == 0) {
            const auto owner = "poplarfront-" + std::to_string(plan.groups.size());
            plan.groups.push_back({{}, {model::instance_id::trusted(owner)}});
        }
        plan.groups.back().shards.push_back(
            {model::service_id::trusted("service-0"), model::shard_id::trusted(std::to_string(n))});
    }
    return plan;
}

std::vector<model::server_id> replicas_of(const model::shard_ref& shard) {
    return {model::server_id::trusted("server-" + shard.shard.text() + "a"),
            model::server_id::trusted("server-" + shard.shard.text() + "b")};
}

/// The JSON that a backend server replies to an attempt, with one record of 100 bytes.
std::string backend_reply(const model::shard_attempt& attempt) {
    constexpr std::size_t body_bytes = 100;
    return wire::encode_attempt_reply(
        {attempt.request,
         attempt.attempt,
         attempt.searcher,
         attempt.shard,
         attempt.server,
         model::attempt_status::ok,
         attempt.snapshot.version,
         {{attempt.shard.shard.text(), std::string(body_bytes, 'x')}},
         model::version_range{attempt.snapshot.version, attempt.snapshot.version},
         0.5});
}

std::string envelope_of(wire::message_kind kind, std::string payload) {
    return wire::encode_envelope({model::deployment_id::trusted("richelieu"),
                                  model::instance_id::trusted("poplarfront-0"),
                                  {1},
                                  kind,
                                  std::move(payload)});
}

/// Runs queries through the code of the entry instance and of the owners, without sockets.
class traffic_run {
public:
    traffic_run(std::uint64_t shards, std::uint64_t group_size)
        : shards_(shards), group_size_(group_size), planner_{make_plan(shards, group_size)} {}

    sample measure() {
        for (std::uint32_t n = 0; n < warm_up + queries; ++n) {
            if (n == warm_up) {
                entry_seconds_ = owner_seconds_ = 0;
                messages_ = peer_bytes_ = backend_bytes_ = sub_queries_ = complete_ = 0;
            }
            run_query(n);
        }
        const auto per_query = [](double total) { return total / queries; };
        return {{{"shards", static_cast<double>(shards_)},
                 {"group_size", static_cast<double>(group_size_)},
                 {"groups", static_cast<double>(planner_.planned.groups.size())}},
                {{"complete", per_query(complete_)},
                 {"entry_us_per_query", per_query(entry_seconds_ * microseconds_per_second)},
                 {"owner_us_per_sub_query",
                  owner_seconds_ * microseconds_per_second / std::max(sub_queries_, 1.0)},
                 {"peer_messages_per_query", per_query(messages_)},
                 {"peer_bytes_per_query", per_query(peer_bytes_)},
                 {"backend_bytes_per_query", per_query(backend_bytes_)}}};
    }

private:
    using session_type = query_session<kernel::manual_clock, batch_outbox, fixed_planner>;
    using call_type = batch_call<kernel::manual_clock, attempt_outbox>;

    void run_query(std::uint32_t number) {
        // Queries repeat, so that they are known to be good and no canary is sent.
        const model::search_request request{
            model::request_id::trusted("request-" + std::to_string(number)),
            model::searcher_id::trusted("mill"),
            {model::service_id::trusted("service-0")},
            "variety:poplar diameter:30..45",
            clock_.now() + time_limit};
        batch_outbox batches;
        auto before = processor_seconds();
        session_type session{clock_, batches, entry_.context(), planner_, request};
        session.start();
        entry_seconds_ += processor_seconds() - before;
        while (!session.answer() && !batches.sent.empty()) {
            for (const auto& batch : std::exchange(batches.sent, {})) {
                exchange(session, batch);
            }
        }
        complete_ += session.answer() && session.answer()->complete() ? 1 : 0;
        clock_.advance(std::chrono::milliseconds{1});
    }

    void exchange(session_type& session, const sub_query_batch& batch) {
        auto before = processor_seconds();
        const auto sent = envelope_of(wire::message_kind::sub_query_batch,
                                      wire::encode_batch(batch, clock_.now()));
        entry_seconds_ += processor_seconds() - before;
        const auto replied = execute(sent);
        messages_ += 2;
        peer_bytes_ += static_cast<double>(sent.size() + replied.size());
        before = processor_seconds();
        const auto envelope = wire::decode_envelope(replied, deployment_);
        const auto result = wire::decode_batch_result(envelope.value().payload);
        session.on_result(result.value());
        entry_seconds_ += processor_seconds() - before;
    }

    /// What the owner does for a batch. The time of the backend servers is not counted.
    std::string execute(const std::string& received) {
        auto before = processor_seconds();
        const auto envelope = wire::decode_envelope(received, deployment_);
        const auto batch = wire::decode_batch(envelope.value().payload, clock_.now());
        attempt_outbox attempts;
        call_type call{clock_, attempts, owner_.context(), batch.value(), replicas_of};
        call.start();
        std::vector<std::string> bodies;
        for (const auto& it : attempts.sent) {
            bodies.push_back(wire::encode_attempt(it, clock_.now()));
        }
        owner_seconds_ += processor_seconds() - before;
        std::vector<std::string> replies;
        for (std::size_t n = 0; n < bodies.size(); ++n) {
            replies.push_back(backend_reply(attempts.sent[n]));
            backend_bytes_ += static_cast<double>(bodies[n].size() + replies.back().size());
        }
        sub_queries_ += static_cast<double>(replies.size());
        before = processor_seconds();
        for (std::size_t n = 0; n < replies.size(); ++n) {
            auto reply = wire::decode_attempt_reply(replies[n]).value();
            reply.server = attempts.sent[n].server;
            reply.shard = attempts.sent[n].shard;
            call.on_reply(reply);
        }
        auto encoded = envelope_of(wire::message_kind::sub_query_result,
                                   wire::encode_batch_result(call.result().value()));
        owner_seconds_ += processor_seconds() - before;
        return encoded;
    }

    std::uint64_t shards_;
    std::uint64_t group_size_;
    model::deployment_id deployment_ = model::deployment_id::trusted("richelieu");
    kernel::manual_clock clock_;
    fixed_planner planner_;
    routing::routing_state entry_{1};
    routing::routing_state owner_{1};
    double entry_seconds_ = 0;
    double owner_seconds_ = 0;
    double messages_ = 0;
    double peer_bytes_ = 0;
    double backend_bytes_ = 0;
    double sub_queries_ = 0;
    double complete_ = 0;
};

std::vector<sample> run(const capacity_options&) {
    constexpr std::array<std::uint64_t, 2> shard_counts{20, 280};
    constexpr std::array<std::uint64_t, 4> group_sizes{1, 7, 14, 56};
    std::vector<sample> samples;
    for (const auto shards : shard_counts) {
        for (const auto group_size : group_sizes) {
            samples.push_back(traffic_run{shards, group_size}.measure());
        }
    }
    return samples;
}

const kernel::extension_point<measurement>::registration registered{
    {"traffic",
     "routing and codecs without sockets, admission and caller JSON; one owner per group, one "
     "record of 100 bytes per shard",
     {"shards", "groups"},
     run}};

}  // namespace
}  // namespace poplarfront::capacity
