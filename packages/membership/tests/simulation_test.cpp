#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <set>
#include <string>

#include "membership/ownership_table.h"
#include "membership/virtual_cluster.h"

namespace poplarfront::membership {
namespace {

using model::instance_id;
using model::instance_status;
using namespace std::chrono_literals;

// Time bounds that the checks enforce, for the cluster sizes simulated here.
constexpr kernel::duration failure_bound = 20s;
constexpr kernel::duration leaving_bound = 2s;
constexpr kernel::duration recovery_bound = 60s;
// A process learns from its first replies which instances are leaving.
constexpr kernel::duration start_bound = 3s;
constexpr kernel::duration list_lag = 30s;
constexpr std::size_t data_centres = 3;

std::uint64_t from_environment(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// A link that loses and delays messages, and drops those to and from data centres that are cut
/// off.
struct faulty_link {
    std::optional<kernel::duration> transit(const peer_message& message, kernel::time_point) {
        const bool cut = message.from.data_centre != message.to.data_centre &&
                         (cut_off.contains(message.from.data_centre) ||
                          cut_off.contains(message.to.data_centre));
        if (cut || kernel::uniform_unit(random) < loss) {
            return std::nullopt;
        }
        const auto max_delay_count = static_cast<std::uint64_t>(max_delay.count());
        return kernel::duration{
            static_cast<kernel::duration::rep>(kernel::uniform_below(random, max_delay_count))};
    }

    kernel::seeded_random_source random;
    double loss = 0;
    kernel::duration max_delay = 2ms;
    std::set<model::data_centre_id> cut_off;
};

class simulation {
public:
    simulation(std::uint64_t seed, std::size_t instances, member_options options = {})
        : link_{kernel::seeded_random_source{seed}},
          random_(seed + 1),
          cluster_(link_, seed + 2, options) {
        const auto map = test_map();
        ownership_ = ownership_table::create(map, {}, {owner_mode::owned, 1, 2}).value();
        std::vector<std::string> names;
        for (std::size_t n = 0; n < instances; ++n) {
            names.push_back("i" + std::to_string(n));
        }
        for (const auto& name : names) {
            processes_[instance_id::trusted(name)].data_centre =
                data_centre(names.size() + assigned_count_++);
        }
        record_list();
        for (const auto& name : names) {
            start(instance_id::trusted(name));
        }
        faults_until_ = cluster_.now();
    }

    /// Injects a fault of a random kind, followed by time without faults.
    void inject_random_fault() {
        switch (kernel::uniform_below(random_, 8)) {
            case 0:
                return crash();
            case 1:
                return pause();
            case 2:
                return cut_data_centre(std::chrono::seconds{10 + random_below(50)});
            case 3:
                return crash_and_replace_with_message_loss();
            case 4:
                return replace_one();
            case 5:
                return rolling_replacement();
            case 6:
                return mass_restart();
            default:
                crash_during_pause();
        }
    }

    void crash() {
        stop(random_running_instance());
        run(failure_bound + 2s);
    }

    void pause() {
        const auto until = cluster_.now() + std::chrono::milliseconds{500 + random_below(20'000)};
        pause(random_running_instance(), until);
        run(until - cluster_.now() + 5s);
    }

    /// The two instances are drawn independently and may be the same.
    void crash_during_pause() {
        pause(random_running_instance(), cluster_.now() + 8s);
        stop(random_running_instance());
        run(10s);
    }

    void cut_data_centre(kernel::duration time) {
        const auto cut = data_centre(random_below(data_centres));
        link_.cut_off.insert(cut);
        faults_until_ = cluster_.now() + time;
        run(time);
        link_.cut_off.clear();
        run(recovery_bound + 1s);
        check_converged();
    }

    void crash_and_replace_with_message_loss() {
        link_.loss = 0.01 * static_cast<double>(1 + random_below(5));
        link_.max_delay = std::chrono::milliseconds{1 + random_below(100)};
        crash();
        replace_one();
        link_.loss = 0;
        link_.max_delay = 2ms;
        faults_until_ = cluster_.now();
    }

    void replace_one() {
        const auto id = random_running_instance();
        processes_[id].leaving_since = cluster_.now();
        cluster_.input(id, [](auto& table) { table.leave(); });
        run(std::chrono::seconds{2 + random_below(10)});
        stop(id);
        run(1s);
        start(id);
    }

    void rolling_replacement() {
        for (int n = 0; n < 5; ++n) {
            replace_one();
        }
    }

    void mass_restart() {
        for (const auto& id : running()) {
            stop(id);
            start(id);
            run(50ms);
        }
        faults_until_ = cluster_.now();
        run(recovery_bound + 1s);
        check_converged();
    }

    /// Runs without faults for the recovery bound and checks that all views agree.
    void converge() {
        run(recovery_bound + 1s);
        check_converged();
    }

    /// The first violation that the checks found; empty if there is none.
    [[nodiscard]] const std::string& violation() const { return violation_; }

private:
    struct process_state {
        model::data_centre_id data_centre;
        bool running = false;
        kernel::time_point started_at;
        kernel::time_point stopped_at;
        std::optional<kernel::time_point> leaving_since;
        kernel::time_point paused_until;
        model::incarnation incarnation;
    };

    static model::data_centre_id data_centre(std::uint64_t n) {
        return model::data_centre_id::trusted("dc" + std::to_string(n % data_centres));
    }

    static model::shard_map test_map() {
        model::service_info service{model::service_id::trusted("s"), "", {}};
        std::vector<model::server_info> servers;
        for (int n = 0; n < 60; ++n) {
            const auto id = model::server_id::trusted("b" + std::to_string(n));
            servers.push_back({id, "127.0.0.1:1", {}, 2, 55});
            service.shards.push_back({model::shard_id::trusted(std::to_string(n)), {id}});
        }
        return model::shard_map::create({1}, {service}, servers).value();
    }

    std::int64_t random_below(std::uint64_t bound) {
        return static_cast<std::int64_t>(kernel::uniform_below(random_, bound));
    }

    [[nodiscard]] std::vector<instance_id> running() const {
        std::vector<instance_id> ids;
        for (const auto& [id, it] : processes_) {
            if (it.running) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    instance_id random_running_instance() {
        const auto ids = running();
        REQUIRE(ids.size() > 2);
        return ids[static_cast<std::size_t>(random_below(ids.size()))];
    }

    void start(const instance_id& id) {
        auto& it = processes_[id];
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            cluster_.now().time_since_epoch());
        it.incarnation = first_incarnation(ms);
        it.running = true;
        it.started_at = cluster_.now();
        it.leaving_since.reset();
        cluster_.start({id, it.data_centre, "127.0.0.1:1", it.incarnation}, list_);
    }

    void stop(const instance_id& id) {
        processes_[id].running = false;
        processes_[id].stopped_at = cluster_.now();
        cluster_.stop(id);
    }

    void pause(const instance_id& id, kernel::time_point until) {
        processes_[id].paused_until = until;
        cluster_.pause(id, until);
    }

    void run(kernel::duration time) {
        const auto end = cluster_.now() + time;
        while (cluster_.now() < end && violation_.empty()) {
            cluster_.run_until(std::min(end, cluster_.now() + 500ms));
            if (cluster_.now() - listed_at_ >= list_lag) {
                deliver_list();
            }
            check();
        }
    }

    /// Delivers the list of 30 s ago to all instances, and records the next one.
    void deliver_list() {
        for (const auto& id : running()) {
            cluster_.input(id, [&](auto& table) { table.on_instance_list(list_); });
        }
        record_list();
    }

    void record_list() {
        list_.clear();
        for (const auto& [id, it] : processes_) {
            // All instances are listed before the first process starts.
            if (it.running || cluster_.now() == kernel::manual_clock{}.now()) {
                list_.push_back({{id, it.data_centre, "127.0.0.1:1"}, false});
            }
        }
        listed_at_ = cluster_.now();
    }

    void check() {
        for (const auto& viewer : running()) {
            const auto& viewer_state = processes_[viewer];
            if (viewer_state.paused_until + start_bound > cluster_.now() || !violation_.empty()) {
                continue;
            }
            const auto& view = cluster_.view(viewer);
            for (const auto& [subject, subject_state] : processes_) {
                check_pair(viewer, viewer_state, subject, subject_state, view);
            }
        }
    }

    void check_pair(const instance_id& viewer, const process_state& viewer_state,
                    const instance_id& subject, const process_state& subject_state,
                    const model::instance_view& view) {
        const auto now = cluster_.now();
        const auto* row = view.find(subject);
        const bool working = row != nullptr && (row->status == instance_status::alive ||
                                                row->status == instance_status::suspect);
        const auto fault_free_since =
            std::max({faults_until_, viewer_state.started_at, viewer_state.paused_until});
        const auto stopped_since = std::max(subject_state.stopped_at, fault_free_since);
        if (!subject_state.running && working && now > stopped_since + failure_bound) {
            record_violation(viewer, subject, "has stopped and still counts as working");
        }
        const auto running_since =
            std::max({subject_state.started_at, subject_state.paused_until, fault_free_since});
        if (subject_state.running && !subject_state.leaving_since && !working &&
            now > running_since + recovery_bound) {
            record_violation(viewer, subject, "is running and does not count as working");
        }
        if (subject_state.running && subject_state.leaving_since &&
            now > *subject_state.leaving_since + leaving_bound &&
            now > viewer_state.started_at + start_bound && now > faults_until_ + recovery_bound) {
            check_not_owner(viewer, subject, view);
        }
    }

    void check_not_owner(const instance_id& viewer, const instance_id& subject,
                         const model::instance_view& view) {
        if (!ownership_.with_view(view).groups_of(subject).empty()) {
            record_violation(viewer, subject, "is leaving and owns shard groups");
        }
    }

    void check_converged() {
        const auto ids = running();
        const auto expected = ids.empty() ? model::instance_view{} : cluster_.view(ids.front());
        for (const auto& viewer : ids) {
            const auto& view = cluster_.view(viewer);
            if (view.working_instances() != ids) {
                record_violation(viewer, viewer, "does not see exactly the running instances");
            }
            for (const auto& id : ids) {
                const auto* row = view.find(id);
                const auto* other = expected.find(id);
                if (row == nullptr || other == nullptr ||
                    row->incarnation_number != other->incarnation_number) {
                    record_violation(viewer, id, "has different incarnations in two views");
                }
            }
        }
    }

    void record_violation(const instance_id& viewer, const instance_id& subject, const char* what) {
        if (violation_.empty()) {
            const auto at = std::chrono::duration<double>(cluster_.now().time_since_epoch());
            violation_ = "at " + std::to_string(at.count()) + " s, as seen by " + viewer.text() +
                         ", " + subject.text() + " " + what;
        }
    }

    faulty_link link_;
    kernel::seeded_random_source random_;
    virtual_cluster<faulty_link> cluster_;
    ownership_table ownership_;
    std::map<instance_id, process_state> processes_;
    std::size_t assigned_count_ = 0;
    std::vector<instance_list_entry> list_;
    kernel::time_point listed_at_;
    /// The end of the last fault during which the bounds do not hold: a partition, message loss, or
    /// a restart of all instances.
    kernel::time_point faults_until_;
    std::string violation_;
};

/// Runs random faults on clusters of different seeds. Returns the first violation with its seed.
std::string run_random_faults(std::uint64_t first_seed, std::uint64_t runs,
                              member_options options = {}) {
    constexpr int faults = 10;
    for (auto seed = first_seed; seed < first_seed + runs; ++seed) {
        simulation sim{seed, 20 + seed % 20, options};
        sim.converge();
        for (int n = 0; n < faults && sim.violation().empty(); ++n) {
            sim.inject_random_fault();
        }
        if (sim.violation().empty()) {
            sim.converge();
        }
        if (!sim.violation().empty()) {
            return "POPLARFRONT_SEED=" + std::to_string(seed) + ": " + sim.violation();
        }
    }
    return {};
}

const auto seed = from_environment("POPLARFRONT_SEED", 1);

TEST_CASE("random faults violate no guarantee of the membership") {
    const auto violation = run_random_faults(seed, from_environment("POPLARFRONT_RUNS", 6));
    INFO(violation);
    CHECK(violation.empty());
}

TEST_CASE("instances of a data centre cut off for an hour are alive in all views afterwards") {
    simulation sim{seed, 15};
    sim.converge();
    sim.cut_data_centre(1h);
    INFO("POPLARFRONT_SEED=" << seed << ": " << sim.violation());
    CHECK(sim.violation().empty());
}

TEST_CASE("the checks report a violation if failures are not detected") {
    member_options options;
    options.suspicion_timeout = 1h;
    const auto violation = run_random_faults(seed, 3, options);
    CHECK(violation.find("has stopped and still counts as working") != std::string::npos);
}

TEST_CASE("the checks report a violation if failed instances are not contacted again") {
    member_options options;
    options.exchanges_per_reconnect = 0;
    simulation sim{seed, 30, options};
    sim.converge();
    sim.cut_data_centre(5min);
    CHECK(sim.violation().find("does not count as working") != std::string::npos);
}

TEST_CASE("the checks report a violation if leaving instances are not pushed to peers") {
    member_options options;
    options.push_fanout = 0;
    simulation sim{seed, 60, options};
    sim.converge();
    for (int n = 0; n < 5; ++n) {
        sim.replace_one();
    }
    CHECK(sim.violation().find("is leaving and owns shard groups") != std::string::npos);
}

}  // namespace
}  // namespace poplarfront::membership
