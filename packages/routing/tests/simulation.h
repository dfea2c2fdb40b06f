#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "fixture.h"

namespace poplarfront::routing {

enum class simulated_fault {
    slow_server,
    draining_server,
    crashed_server,
    repartition,
    shedding,
    lost_results,
    frozen_instance,
    lost_instance,
    crashing_query,
};

struct simulation_options {
    std::uint64_t seed = 1;
    routing_policy policy;
    retry::retry_budget_options attempt_budget = attempt_budget_options();
    retry::retry_budget_options batch_budget = batch_budget_options();
    /// Whether anything fails at all.
    bool faults = true;
    /// The faults that are scheduled; all if empty. Lost, late and duplicated replies, and single
    /// sheds, occur in any case.
    std::set<simulated_fault> only = {};
    /// Whether one backend server is 10 times slower throughout.
    bool straggler = false;
};

struct simulation_report {
    /// Promises that were broken, by name.
    std::set<std::string> violations;
    std::vector<kernel::duration> latencies;
    std::uint64_t complete = 0;
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    std::uint64_t primaries = 0;
    std::uint64_t extra = 0;
    std::size_t crashes = 0;
    routing_counters counters;
};

/// A few instances and backend servers on a simulated clock, with seeded faults. It checks every
/// answer against the records of the pinned snapshot, and every attempt as it is sent.
class simulation {
public:
    explicit simulation(simulation_options options)
        : options_(std::move(options)), random_(options_.seed) {
        for (std::size_t it = 0; it < instance_count; ++it) {
            auto& node = *nodes_.emplace_back(std::make_unique<node_state>(*this, it));
            node.shared.policy = options_.policy;
            node.shared.attempt_budget = retry::retry_budget(options_.attempt_budget);
            node.shared.batch_budget = retry::retry_budget(options_.batch_budget);
            node.shared.random = kernel::seeded_random_source(options_.seed + it);
        }
    }

    simulation_report run();

private:
    using milliseconds = std::chrono::duration<double, std::milli>;
    static constexpr std::size_t instance_count = 4;
    static constexpr std::size_t server_count = 9;
    static constexpr std::size_t servers_per_group = 3;
    static constexpr std::size_t shards_per_group = 4;
    static constexpr int key_count = 24;

    struct node_state;

    /// The transport of one instance, the planner of its queries, and the clock.
    struct node_ports {
        simulation& world;
        std::size_t index;
        void send(const model::shard_attempt& attempt) { world.arrive(index, attempt); }
        void cancel(const model::shard_attempt& attempt) { world.cancel_attempt(index, attempt); }
        void send(const model::instance_id& owner, const sub_query_batch& batch) {
            world.send_batch(index, owner, batch);
        }
        void cancel(const model::instance_id& owner, const sub_query_batch& batch);
        query_plan plan(const model::search_request& request) { return world.plan(index, request); }
    };

    using batch_type = batch_call<kernel::manual_clock, node_ports>;
    using session_type = query_session<kernel::manual_clock, node_ports, node_ports>;
    using batch_key = std::pair<model::request_id, std::uint32_t>;

    struct open_call {
        std::unique_ptr<batch_type> call;
        std::size_t entry;
        bool replied = false;
    };

    struct open_session {
        model::search_request request;
        std::unique_ptr<session_type> session;
        kernel::time_point started;
        bool checked = false;
    };

    struct node_state {
        node_state(simulation& world, std::size_t index) : ports{world, index} {}
        node_ports ports;
        seeded_routing_state shared;
        std::map<batch_key, open_call> calls;
        std::map<model::request_id, open_session> sessions;
        std::uint64_t known_map = 1;
        kernel::time_point frozen_until;
        std::set<std::size_t> lost_peers;
        std::uint64_t attempts = 0;
        std::uint64_t extra_attempts = 0;
        std::uint64_t batches = 0;
        std::uint64_t extra_batches = 0;
    };

    struct server_state {
        std::uint64_t newest = 3;
        std::uint64_t map = 1;
        kernel::time_point down_until;
        kernel::time_point slow_until;
        kernel::time_point drain_notice = kernel::time_point::max();
        std::map<std::pair<std::size_t, std::pair<model::request_id, std::uint32_t>>,
                 model::shard_attempt>
            running;
    };

    static kernel::duration ms(double value) {
        return std::chrono::duration_cast<kernel::duration>(milliseconds(value));
    }
    double between(double low, double high) {
        return low + (high - low) * kernel::uniform_unit(random_);
    }
    /// Whether a fault of this probability happens.
    bool fault(double probability) {
        const bool happens = kernel::uniform_unit(random_) < probability;
        return options_.faults && happens;
    }
    [[nodiscard]] bool scheduled(simulated_fault which) const {
        return options_.only.empty() || options_.only.contains(which);
    }
    void at(kernel::time_point when, std::function<void()> event) {
        events_.emplace(std::max(when, clock_.now()), std::move(event));
    }
    void after(double delay_ms, std::function<void()> event) {
        at(clock_.now() + ms(delay_ms), std::move(event));
    }
    /// Runs an event on an instance, later if the instance is frozen.
    void on_node(std::size_t index, std::function<void()> event) {
        if (clock_.now() < nodes_[index]->frozen_until) {
            if (nodes_[index]->frozen_until != kernel::time_point::max()) {
                at(nodes_[index]->frozen_until, std::move(event));
            }
            return;
        }
        event();
    }
    void require(bool holds, const std::string& promise) {
        if (!holds) {
            report_.violations.insert(promise);
        }
    }

    static std::size_t server_index(const model::server_id& id) {
        return std::stoul(id.text().substr(1));
    }
    static std::size_t node_index(const model::instance_id& id) {
        return std::stoul(id.text().substr(1));
    }
    static int shard_number(const model::shard_ref& ref) { return std::stoi(ref.shard.text()); }
    static int shard_count(std::uint64_t map) { return map == 1 ? 12 : 10; }
    static model::shard_map make_map(std::uint64_t revision);
    static std::vector<model::record> records_of(const model::pinned_snapshot& snapshot, int shard,
                                                 const model::request_id& request);

    query_plan plan(std::size_t index, const model::search_request& request);
    void schedule_faults();
    void schedule_drain();
    void schedule_repartition();
    void schedule_lost_instance();
    void schedule_queries();
    void submit(std::size_t index, const std::string& query);
    void send_batch(std::size_t from, const model::instance_id& owner,
                    const sub_query_batch& batch);
    void arrive(std::size_t from, const model::shard_attempt& attempt);
    void cancel_attempt(std::size_t from, const model::shard_attempt& attempt);
    void execute(std::size_t from, const model::shard_attempt& attempt);
    void crash(std::size_t server);
    void reply(std::size_t to, const model::attempt_reply& reply);
    void deliver(std::size_t to, const model::attempt_reply& reply);
    void settle_call(std::size_t index, const batch_key& key);
    void settle_session(std::size_t index, const model::request_id& request);
    void spread_quarantine(std::size_t index);
    void check(std::size_t index, const open_session& open);
    void check_load();

    simulation_options options_;
    kernel::seeded_random_source random_;
    kernel::manual_clock clock_;
    std::multimap<kernel::time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<node_state>> nodes_;
    std::vector<server_state> servers_{server_count};
    std::map<std::uint64_t, model::shard_map> maps_{{1, make_map(1)}, {2, make_map(2)}};
    std::set<std::tuple<std::size_t, batch_key, model::shard_ref>> seen_attempts_;
    std::set<std::tuple<model::request_id, model::pinned_snapshot, model::shard_ref>> seen_shards_;
    std::set<std::tuple<model::request_id, model::pinned_snapshot, model::shard_ref>> seen_batches_;
    double shed_rate_ = 0.005;
    double result_loss_ = 0.003;
    std::uint64_t next_request_ = 0;
    simulation_report report_;
};

}  // namespace poplarfront::routing
