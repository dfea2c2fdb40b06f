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

// The bounds that the checks hold the table to, at the sizes simulated here.
constexpr kernel::duration failure_bound = 20s;
constexpr kernel::duration leaving_bound = 2s;
constexpr kernel::duration recovery_bound = 60s;
// A process learns from its first replies who is leaving.
constexpr kernel::duration start_bound = 3s;
constexpr kernel::duration list_lag = 30s;
constexpr std::size_t data_centres = 3;

std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// Loses, delays and cuts off messages.
struct faulty_link {
    std::optional<kernel::duration> transit(const peer_message& message, kernel::time_point) {
        const bool cut = message.from.data_centre != message.to.data_centre &&
                         (cut_off.contains(message.from.data_centre) ||
                          cut_off.contains(message.to.data_centre));
        if (cut || kernel::uniform_unit(random) < loss) {
            return std::nullopt;
        }
        const auto most = static_cast<std::uint64_t>(max_delay.count());
        return kernel::duration{
            static_cast<kernel::duration::rep>(kernel::uniform_below(random, most))};
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
            facts_[instance_id::trusted(name)].data_centre = data_centre(names.size() + last_++);
        }
        snapshot_list();
        for (const auto& name : names) {
            start(instance_id::trusted(name));
        }
        disturbed_until_ = cluster_.now();
    }

    /// One kind of fault, drawn at random, and quiet time after it.
    void random_fault() {
        switch (kernel::uniform_below(random_, 8)) {
            case 0:
                return crash();
            case 1:
                return freeze();
            case 2:
                return cut_data_centre(std::chrono::seconds{10 + below(50)});
            case 3:
                return lossy_minute();
            case 4:
                return leave_one();
            case 5:
                return rolling_replacement();
            case 6:
                return mass_restart();
            default:
                crash_while_another_is_frozen();
        }
    }

    void crash() {
        stop(any_running());
        run(failure_bound + 2s);
    }

    void freeze() {
        const auto until = cluster_.now() + std::chrono::milliseconds{500 + below(20'000)};
        freeze(any_running(), until);
        run(until - cluster_.now() + 5s);
    }

    void crash_while_another_is_frozen() {
        freeze(any_running(), cluster_.now() + 8s);
        stop(any_running());
        run(10s);
    }

    void cut_data_centre(kernel::duration time) {
        const auto cut = data_centre(below(data_centres));
        link_.cut_off.insert(cut);
        disturbed_until_ = cluster_.now() + time;
        run(time);
        link_.cut_off.clear();
        run(recovery_bound + 1s);
        check_converged();
    }

    void lossy_minute() {
        link_.loss = 0.01 * static_cast<double>(1 + below(5));
        link_.max_delay = std::chrono::milliseconds{1 + below(100)};
        crash();
        leave_one();
        link_.loss = 0;
        link_.max_delay = 2ms;
        disturbed_until_ = cluster_.now();
    }

    void leave_one() {
        const auto id = any_running();
        facts_[id].left_at = cluster_.now();
        cluster_.input(id, [](auto& table) { table.leave(); });
        run(std::chrono::seconds{2 + below(10)});
        stop(id);
        run(1s);
        start(id);
    }

    void rolling_replacement() {
        for (int n = 0; n < 5; ++n) {
            leave_one();
        }
    }

    void mass_restart() {
        for (const auto& id : running()) {
            stop(id);
            start(id);
            run(50ms);
        }
        disturbed_until_ = cluster_.now();
        run(recovery_bound + 1s);
        check_converged();
    }

    /// Lets everything settle and checks that all agree.
    void settle() {
        run(recovery_bound + 1s);
        check_converged();
    }

    /// What was violated, if anything.
    [[nodiscard]] const std::string& violation() const { return violation_; }

private:
    struct fact {
        model::data_centre_id data_centre;
        bool running = false;
        kernel::time_point started_at;
        kernel::time_point stopped_at;
        std::optional<kernel::time_point> left_at;
        kernel::time_point frozen_until;
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

    std::int64_t below(std::uint64_t bound) {
        return static_cast<std::int64_t>(kernel::uniform_below(random_, bound));
    }

    [[nodiscard]] std::vector<instance_id> running() const {
        std::vector<instance_id> ids;
        for (const auto& [id, it] : facts_) {
            if (it.running) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    instance_id any_running() {
        const auto ids = running();
        REQUIRE(ids.size() > 2);
        return ids[static_cast<std::size_t>(below(ids.size()))];
    }

    void start(const instance_id& id) {
        auto& it = facts_[id];
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            cluster_.now().time_since_epoch());
        it.incarnation = first_incarnation(ms);
        it.running = true;
        it.started_at = cluster_.now();
        it.left_at.reset();
        cluster_.start({id, it.data_centre, "127.0.0.1:1", it.incarnation}, list_);
    }

    void stop(const instance_id& id) {
        facts_[id].running = false;
        facts_[id].stopped_at = cluster_.now();
        cluster_.stop(id);
    }

    void freeze(const instance_id& id, kernel::time_point until) {
        facts_[id].frozen_until = until;
        cluster_.freeze(id, until);
    }

    void run(kernel::duration time) {
        const auto end = cluster_.now() + time;
        while (cluster_.now() < end && violation_.empty()) {
            cluster_.run_until(std::min(end, cluster_.now() + 500ms));
            if (cluster_.now() - listed_at_ >= list_lag) {
                give_list();
            }
            check();
        }
    }

    /// Gives the list as it was 30 s ago to all, and takes the next one.
    void give_list() {
        for (const auto& id : running()) {
            cluster_.input(id, [&](auto& table) { table.on_instance_list(list_); });
        }
        snapshot_list();
    }

    void snapshot_list() {
        list_.clear();
        for (const auto& [id, it] : facts_) {
            if (it.running || cluster_.now() == kernel::manual_clock{}.now()) {
                list_.push_back({{id, it.data_centre, "127.0.0.1:1"}, false});
            }
        }
        listed_at_ = cluster_.now();
    }

    void check() {
        for (const auto& viewer : running()) {
            const auto& own = facts_[viewer];
            if (own.frozen_until + start_bound > cluster_.now() || !violation_.empty()) {
                continue;
            }
            const auto& view = cluster_.view(viewer);
            for (const auto& [subject, it] : facts_) {
                check_pair(viewer, own, subject, it, view);
            }
        }
    }

    void check_pair(const instance_id& viewer, const fact& own, const instance_id& subject,
                    const fact& it, const model::instance_view& view) {
        const auto now = cluster_.now();
        const auto* row = view.find(subject);
        const bool working = row != nullptr && (row->status == instance_status::alive ||
                                                row->status == instance_status::suspect);
        const auto quiet_since = std::max({disturbed_until_, own.started_at, own.frozen_until});
        const auto gone_since = std::max(it.stopped_at, quiet_since);
        if (!it.running && working && now > gone_since + failure_bound) {
            violate(viewer, subject, "is gone and still counts as working");
        }
        const auto back_since = std::max({it.started_at, it.frozen_until, quiet_since});
        if (it.running && !it.left_at && !working && now > back_since + recovery_bound) {
            violate(viewer, subject, "runs and is left failed");
        }
        if (it.running && it.left_at && now > *it.left_at + leaving_bound &&
            now > own.started_at + start_bound && now > disturbed_until_ + recovery_bound) {
            check_not_owner(viewer, subject, view);
        }
    }

    void check_not_owner(const instance_id& viewer, const instance_id& subject,
                         const model::instance_view& view) {
        if (!ownership_.with_view(view).groups_of(subject).empty()) {
            violate(viewer, subject, "is leaving and owns shard groups");
        }
    }

    void check_converged() {
        const auto ids = running();
        const auto expected = ids.empty() ? model::instance_view{} : cluster_.view(ids.front());
        for (const auto& viewer : ids) {
            const auto& view = cluster_.view(viewer);
            if (view.working_instances() != ids) {
                violate(viewer, viewer, "does not see exactly the running instances");
            }
            for (const auto& id : ids) {
                const auto* row = view.find(id);
                const auto* other = expected.find(id);
                if (row == nullptr || other == nullptr ||
                    row->incarnation_number != other->incarnation_number) {
                    violate(viewer, id, "has different incarnations after the views settled");
                }
            }
        }
    }

    void violate(const instance_id& viewer, const instance_id& subject, const char* what) {
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
    std::map<instance_id, fact> facts_;
    std::size_t last_ = 0;
    std::vector<instance_list_entry> list_;
    kernel::time_point listed_at_;
    kernel::time_point disturbed_until_;
    std::string violation_;
};

/// Runs random faults on clusters of different seeds. Returns the first violation with its seed.
std::string run_random(std::uint64_t first_seed, std::uint64_t runs, member_options options = {}) {
    constexpr int faults = 10;
    for (auto seed = first_seed; seed < first_seed + runs; ++seed) {
        simulation it{seed, 20 + seed % 20, options};
        it.settle();
        for (int n = 0; n < faults && it.violation().empty(); ++n) {
            it.random_fault();
        }
        if (it.violation().empty()) {
            it.settle();
        }
        if (!it.violation().empty()) {
            return "POPLARFRONT_SEED=" + std::to_string(seed) + ": " + it.violation();
        }
    }
    return {};
}

const auto seed = from_environment("POPLARFRONT_SEED", 1);

TEST_CASE("random faults break no guarantee of the membership") {
    const auto violation = run_random(seed, from_environment("POPLARFRONT_RUNS", 6));
    INFO(violation);
    CHECK(violation.empty());
}

TEST_CASE("a region that is cut off for an hour is seen again by all after it returns") {
    simulation it{seed, 15};
    it.settle();
    it.cut_data_centre(1h);
    INFO("POPLARFRONT_SEED=" << seed << ": " << it.violation());
    CHECK(it.violation().empty());
}

TEST_CASE("the checks notice that failures are not detected") {
    member_options options;
    options.suspicion_timeout = 1h;
    const auto violation = run_random(seed, 3, options);
    CHECK(violation.find("is gone and still counts as working") != std::string::npos);
}

TEST_CASE("the checks notice that failed instances are not contacted again") {
    member_options options;
    options.exchanges_per_reconnect = 0;
    simulation it{seed, 30, options};
    it.settle();
    it.cut_data_centre(5min);
    CHECK(it.violation().find("is left failed") != std::string::npos);
}

TEST_CASE("the checks notice that leaving is not pushed") {
    member_options options;
    options.push_fanout = 0;
    simulation it{seed, 60, options};
    it.settle();
    for (int n = 0; n < 5; ++n) {
        it.leave_one();
    }
    CHECK(it.violation().find("is leaving and owns shard groups") != std::string::npos);
}

}  // namespace
}  // namespace poplarfront::membership
