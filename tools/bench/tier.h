#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "admission/slot_queue.h"
#include "bench/backend_fake.h"
#include "bench/policies.h"
#include "bench/run_types.h"
#include "routing/query_session.h"
#include "routing/routing_state.h"

namespace poplarfront::bench {

/// A whole deployment in virtual time: instances that run the policy, and fakes of backend servers.
/// Promises are checked as attempts are sent, and on each answer.
template <search_policy Policy>
class tier {
public:
    explicit tier(const run_options& options);

    run_result run();

private:
    static constexpr double warm_up_ms = 3000;
    static constexpr double fault_start = 0.3;
    static constexpr double fault_end = 0.7;

    struct instance_state;

    /// The transport of one instance, the planner of its queries, and the output of its admission.
    struct ports {
        tier& world;
        std::size_t index;
        void send(const model::shard_attempt& attempt) { world.queue_attempt(index, attempt); }
        void cancel(const model::shard_attempt& attempt) { world.cancel_attempt(index, attempt); }
        void send(const model::instance_id& owner, const routing::sub_query_batch& batch) {
            world.send_batch(index, owner, batch);
        }
        void cancel(const model::instance_id& owner, const routing::sub_query_batch& batch) {
            world.cancel_batch(index, owner, batch);
        }
        routing::query_plan plan(const model::search_request& request) {
            return world.plan(index, request);
        }
        void start(std::uint64_t query) { world.start_query(index, query); }
        void refuse(const admission::refusal& refused) { world.refuse_query(refused); }
    };

    using clock_type = kernel::manual_clock;
    using session_type = routing::query_session<clock_type, ports, ports>;
    using batch_type = typename Policy::template batch<clock_type, ports>;
    using gate_type = typename Policy::template admission<clock_type, ports>;
    using batch_key = std::pair<model::request_id, std::uint32_t>;
    using attempt_key = std::tuple<std::size_t, model::request_id, std::uint32_t>;

    struct open_batch {
        std::unique_ptr<batch_type> call;
        std::size_t entry = 0;
    };

    /// An instance's use of one backend server.
    struct server_access {
        explicit server_access(const clock_type& clock, std::uint32_t slots)
            : slots(clock, {.slots = slots}) {}
        admission::slot_queue<clock_type> slots;
        std::uint32_t idle_connections = 0;
    };

    struct instance_state : routing::routing_state {
        instance_state(tier& world, std::size_t index, std::uint64_t seed,
                       const admission::share_table& shares)
            : routing_state(seed),
              own_ports{world, index},
              gate(world.events_.clock(), own_ports, shares) {
            this->policy = Policy::routing();
            this->batch_budget = retry::retry_budget{Policy::batch_budget()};
        }
        ports own_ports;
        gate_type gate;
        std::map<batch_key, open_batch> batches;
        std::map<std::uint64_t, std::unique_ptr<session_type>> sessions;
        std::map<std::size_t, server_access> servers;
        std::shared_ptr<const membership::ownership_table> ownership;
        std::uint64_t map = 1;
        bool leaving = false;
    };

    struct query_state {
        model::search_request request;
        int searcher = 0;
        kernel::time_point arrived;
        kernel::time_point started;
        bool measured = false;
        bool in_surge = false;
        bool executed = false;
        bool refused = false;
        bool ended = false;
        std::vector<std::uint32_t> attempts;
    };

    struct flight {
        std::size_t instance = 0;
        std::size_t server = 0;
        model::shard_attempt attempt;
        bool has_slot = false;
        bool cancelled = false;
        kernel::time_point sent_at;
    };

    [[nodiscard]] const clock_type& clock() const { return events_.clock(); }
    [[nodiscard]] kernel::time_point now() const { return events_.now(); }
    double between(double low, double high) {
        return low + (high - low) * kernel::uniform_unit(random_);
    }
    [[nodiscard]] double moment(double part) const {
        constexpr double ms_per_s = 1000;
        return warm_up_ms + part * options_.seconds * ms_per_s;
    }
    [[nodiscard]] double delay_ms(std::size_t from, std::size_t to) const {
        constexpr double within_ms = 0.1;
        const auto centres = static_cast<std::size_t>(options_.work.data_centres);
        return from % centres == to % centres ? within_ms : options_.work.between_data_centres_ms;
    }
    static std::size_t index_of(const std::string& id) { return std::stoul(id.substr(1)); }
    static model::instance_id instance_named(std::size_t index) {
        return model::instance_id::trusted("i" + std::to_string(index));
    }
    static model::server_id server_named(std::size_t index) {
        return model::server_id::trusted("b" + std::to_string(index));
    }
    void require(bool holds, const std::string& promise) {
        if (!holds) {
            result_.broken.insert(promise);
        }
    }

    void create_instance(std::size_t index);
    [[nodiscard]] admission::share_table shares() const;
    [[nodiscard]] std::shared_ptr<const membership::ownership_table> make_ownership(
        std::uint64_t map) const;
    void publish_ownership(double longest_delay_ms);

    void schedule_arrivals();
    void schedule_versions();
    void schedule_faults();
    void replace_instance(std::size_t index);
    void drain_server(std::size_t index, bool announced);
    /// Tells all instances by gossip that a backend server is leaving.
    void spread_drain_notice(std::size_t index);
    void stop_server(std::size_t index);
    void change_map();

    void arrive(std::size_t preferred, query_state query);
    void start_query(std::size_t index, std::uint64_t query);
    void refuse_query(const admission::refusal& refused);
    void settle_query(std::size_t index, std::uint64_t query);
    void watch_gate(std::size_t index);
    void end_query(std::size_t index, std::uint64_t query);
    void check(const query_state& query, const model::search_answer& answer);

    routing::query_plan plan(std::size_t index, const model::search_request& request);
    void send_batch(std::size_t from, const model::instance_id& owner,
                    const routing::sub_query_batch& batch);
    void start_batch(std::size_t owner, std::size_t entry, const routing::sub_query_batch& batch);
    void cancel_batch(std::size_t from, const model::instance_id& owner,
                      const routing::sub_query_batch& batch);
    void settle_batch(std::size_t owner, const batch_key& key);

    server_access& access(std::size_t index, std::size_t server);
    void queue_attempt(std::size_t from, const model::shard_attempt& attempt);
    void take_step(const admission::slot_decisions& step);
    void send_attempt(std::uint64_t id);
    void reach_server(std::uint64_t id);
    void cancel_attempt(std::size_t from, const model::shard_attempt& attempt);
    void end_flight(std::uint64_t id, const model::attempt_reply& reply, bool keep_connection);
    void deliver(std::size_t to, const model::attempt_reply& reply);
    [[nodiscard]] static model::attempt_reply failed(const model::shard_attempt& attempt,
                                                     model::attempt_status status) {
        return {attempt.request, attempt.attempt, attempt.searcher,
                attempt.shard,   attempt.server,  status};
    }

    run_options options_;
    run_result result_;
    event_queue events_;
    kernel::seeded_random_source random_;
    std::map<std::uint64_t, model::shard_map> maps_;
    std::set<std::size_t> away_;
    std::vector<std::unique_ptr<instance_state>> instances_;
    std::vector<std::unique_ptr<backend_fake>> servers_;
    std::map<std::size_t, kernel::time_point> drain_notices_;
    std::set<std::size_t> spread_notices_;
    std::map<std::uint64_t, query_state> queries_;
    std::map<std::uint64_t, flight> flights_;
    std::map<attempt_key, std::uint64_t> flight_ids_;
    std::uint64_t last_query_ = 0;
    std::uint64_t last_flight_ = 0;
    std::uint64_t starts_ = 0;
    std::vector<double> latencies_;
    std::vector<std::uint64_t> surge_offered_ = std::vector<std::uint64_t>(searcher_count);
    std::vector<std::uint64_t> surge_complete_ = std::vector<std::uint64_t>(searcher_count);
};

}  // namespace poplarfront::bench
