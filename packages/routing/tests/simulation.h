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
    /// Enables all faults except the straggler.
    bool faults = true;
    /// The faults to schedule; empty for all. With `faults`, other faults occur at random in any
    /// case: replies and results are lost, late, duplicated or delivered to a wrong receiver,
    /// replies have a newer index version, cancels are lost and single requests are shed.
    std::set<simulated_fault> scheduled_faults = {};
    /// Whether one backend server is 10 times slower during the whole run.
    bool straggler = false;
};

struct simulation_report {
    /// The names of the violated invariants.
    std::set<std::string> violations;
    std::vector<kernel::duration> latencies;
    /// Answers that cover all shards.
    std::uint64_t complete = 0;
    /// The shards of all answers, and those of them that are covered.
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    /// The first attempts for a shard of a query and snapshot, and all further ones.
    std::uint64_t primaries = 0;
    std::uint64_t extra = 0;
    /// Crashes by crashing queries.
    std::size_t crashes = 0;
    /// Sums over all instances; primaries, batches and budget_denials are not summed.
    routing_counters counters;
};

/// Simulates a few instances and backend servers in virtual time with faults chosen by a seed.
/// Checks every answer against the records of its snapshot, and that no attempt is sent later than
/// 2 s after a drain notice.
class simulation {
public:
    explicit simulation(simulation_options options)
        : options_(std::move(options)), random_(options_.seed) {
        for (std::size_t index = 0; index < instance_count; ++index) {
            auto& sim_instance =
                *instances_.emplace_back(std::make_unique<simulated_instance>(*this, index));
            sim_instance.state.policy = options_.policy;
            sim_instance.state.attempt_budget = retry::retry_budget(options_.attempt_budget);
            sim_instance.state.batch_budget = retry::retry_budget(options_.batch_budget);
            sim_instance.state.random = kernel::seeded_random_source(options_.seed + index);
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
    static constexpr double base_shed_rate = 0.005;
    static constexpr double base_result_loss = 0.003;

    struct simulated_instance;

    /// The transports of one instance and the planner of its queries.
    struct instance_environment {
        simulation& parent;
        std::size_t index;
        void send(const model::shard_attempt& attempt) { parent.send_attempt(index, attempt); }
        void cancel(const model::shard_attempt& attempt) { parent.cancel_attempt(index, attempt); }
        void send(const model::instance_id& owner, const sub_query_batch& batch) {
            parent.send_batch(index, owner, batch);
        }
        void cancel(const model::instance_id& owner, const sub_query_batch& batch);
        query_plan plan(const model::search_request& request) {
            return parent.plan(index, request);
        }
    };

    using batch_type = batch_call<kernel::manual_clock, instance_environment>;
    using session_type =
        query_session<kernel::manual_clock, instance_environment, instance_environment>;
    using batch_key = std::pair<model::request_id, std::uint32_t>;

    struct call_record {
        std::unique_ptr<batch_type> call;
        std::size_t entry_instance;
        bool replied = false;
    };

    struct session_record {
        model::search_request request;
        std::unique_ptr<session_type> session;
        kernel::time_point started;
        bool checked = false;
    };

    struct simulated_instance {
        simulated_instance(simulation& parent, std::size_t index) : environment{parent, index} {}
        instance_environment environment;
        seeded_routing_state state;
        std::map<batch_key, call_record> calls;
        std::map<model::request_id, session_record> sessions;
        std::uint64_t map_revision = 1;
        kernel::time_point frozen_until;
        std::set<std::size_t> lost_peers;
        std::uint64_t attempts = 0;
        std::uint64_t extra_attempts = 0;
        std::uint64_t batches = 0;
        std::uint64_t extra_batches = 0;
    };

    struct simulated_server {
        std::uint64_t newest = 3;
        std::uint64_t map_revision = 1;
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
    double uniform_between(double low, double high) {
        return low + (high - low) * kernel::uniform_unit(random_);
    }
    /// Whether a fault with this probability occurs.
    bool fault_occurs(double probability) {
        const bool happens = kernel::uniform_unit(random_) < probability;
        return options_.faults && happens;
    }
    [[nodiscard]] bool is_scheduled(simulated_fault which) const {
        return options_.scheduled_faults.empty() || options_.scheduled_faults.contains(which);
    }
    void schedule_at(kernel::time_point when, std::function<void()> event) {
        events_.emplace(std::max(when, clock_.now()), std::move(event));
    }
    void schedule_after(double delay_ms, std::function<void()> event) {
        schedule_at(clock_.now() + ms(delay_ms), std::move(event));
    }
    /// Runs an event on an instance, or schedules it for the end of a freeze. An event on a lost
    /// instance is dropped.
    void run_on_instance(std::size_t index, std::function<void()> event) {
        if (clock_.now() < instances_[index]->frozen_until) {
            if (instances_[index]->frozen_until != kernel::time_point::max()) {
                schedule_at(instances_[index]->frozen_until, std::move(event));
            }
            return;
        }
        event();
    }
    void check_invariant(bool satisfied, const std::string& invariant) {
        if (!satisfied) {
            report_.violations.insert(invariant);
        }
    }

    static std::size_t server_index(const model::server_id& id) {
        return std::stoul(id.text().substr(1));
    }
    static std::size_t instance_index(const model::instance_id& id) {
        return std::stoul(id.text().substr(1));
    }
    static int shard_number(const model::shard_ref& ref) { return std::stoi(ref.shard.text()); }
    static int shard_count(std::uint64_t map_revision) { return map_revision == 1 ? 12 : 10; }
    static model::shard_map make_map(std::uint64_t revision);
    static std::vector<model::record> records_of(const model::pinned_snapshot& snapshot,
                                                 int shard_index, const model::request_id& request);

    query_plan plan(std::size_t index, const model::search_request& request);
    void schedule_faults();
    void schedule_drain();
    void schedule_repartition();
    void schedule_lost_instance();
    void schedule_queries();
    void submit(std::size_t index, const std::string& query);
    void send_batch(std::size_t from, const model::instance_id& owner,
                    const sub_query_batch& batch);
    void send_attempt(std::size_t from, const model::shard_attempt& attempt);
    void cancel_attempt(std::size_t from, const model::shard_attempt& attempt);
    void execute(std::size_t from, const model::shard_attempt& attempt);
    void crash(std::size_t crashed_server);
    void send_reply(std::size_t to, const model::attempt_reply& reply);
    void deliver_reply(std::size_t to, const model::attempt_reply& reply);
    /// Sends the result of a call if there is one; otherwise schedules its next timer.
    void reply_or_schedule_timer(std::size_t index, const batch_key& key);
    /// Checks the answer of a session if there is one; otherwise schedules its next timer.
    void check_or_schedule_timer(std::size_t index, const model::request_id& request);
    void announce_quarantine(std::size_t index);
    void check_answer(std::size_t index, const session_record& record);
    void check_run_limits();

    simulation_options options_;
    kernel::seeded_random_source random_;
    kernel::manual_clock clock_;
    std::multimap<kernel::time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::vector<simulated_server> servers_{server_count};
    std::map<std::uint64_t, model::shard_map> maps_{{1, make_map(1)}, {2, make_map(2)}};
    std::set<std::tuple<std::size_t, batch_key, model::shard_ref>> attempted_batch_shards_;
    std::set<std::tuple<model::request_id, model::pinned_snapshot, model::shard_ref>>
        attempted_shards_;
    std::set<std::tuple<model::request_id, model::pinned_snapshot, model::shard_ref>>
        shards_sent_in_batches_;
    double shed_rate_ = base_shed_rate;
    double result_loss_ = base_result_loss;
    std::uint64_t next_request_ = 0;
    simulation_report report_;
};

}  // namespace poplarfront::routing
