#include <algorithm>
#include <map>

#include "capacity/counting_link.h"
#include "capacity/heap.h"
#include "capacity/measurement.h"
#include "membership/virtual_cluster.h"

namespace poplarfront::capacity {
namespace {

using namespace std::chrono_literals;

constexpr double seconds_a_day = 86400;

class member_run {
public:
    member_run(std::uint64_t instances, const capacity_options& options)
        : instances_(instances), cluster_(link_, options.seed, {}) {
        for (std::uint64_t n = 0; n < instances_; ++n) {
            list_.push_back({numbered_instance(n, cluster_.now()), false});
        }
        const auto before = heap_bytes();
        for (const auto& it : list_) {
            cluster_.start(it.row, list_);
        }
        run(10s);
        heap_per_instance_ =
            static_cast<double>(heap_bytes() - before) / static_cast<double>(instances_);
        view_seconds_ = time_view();
    }

    /// Replaces instances at a rate a day: each leaves, stops 2 s later and starts again 1 s later.
    sample measure(std::uint64_t changes, std::uint64_t seconds) {
        link_.reset();
        const auto count =
            static_cast<std::uint64_t>(static_cast<double>(changes * seconds) / seconds_a_day);
        const auto plan = plan_steps(count, seconds);
        const auto before = processor_seconds();
        const auto end = cluster_.now() + std::chrono::seconds{seconds};
        for (const auto& [at, change] : plan) {
            cluster_.run_until(at);
            apply(change);
        }
        cluster_.run_until(end);
        return figures(count, processor_seconds() - before, static_cast<double>(seconds));
    }

private:
    void run(kernel::duration time) { cluster_.run_until(cluster_.now() + time); }

    enum class step { leave, stop, start };
    using instance_step = std::pair<step, std::uint64_t>;

    std::multimap<kernel::time_point, instance_step> plan_steps(std::uint64_t count,
                                                                std::uint64_t seconds) {
        std::multimap<kernel::time_point, instance_step> plan;
        const std::chrono::duration<double> usable{static_cast<double>(seconds) - 3};
        for (std::uint64_t n = 0; n < count; ++n) {
            const auto part = static_cast<double>(n) / static_cast<double>(count);
            const auto at =
                cluster_.now() + std::chrono::duration_cast<kernel::duration>(usable * part);
            const auto which = next_++ % instances_;
            plan.emplace(at, instance_step{step::leave, which});
            plan.emplace(at + 2s, instance_step{step::stop, which});
            plan.emplace(at + 3s, instance_step{step::start, which});
        }
        return plan;
    }

    void apply(const instance_step& change) {
        const auto id = numbered_instance(change.second, {}).instance;
        if (change.first == step::start) {
            link_.stopped.erase(id);
            cluster_.start(numbered_instance(change.second, cluster_.now()), list_);
        } else if (change.first == step::stop) {
            cluster_.stop(id);
            link_.stopped.insert(id);
        } else if (cluster_.runs(id)) {
            cluster_.input(id, [](auto& table) { table.leave(); });
        }
    }

    /// The median time to make a view after one row changed.
    double time_view() {
        constexpr int repeats = 21;
        const auto id = list_.front().row.instance;
        const auto other = list_.back().row;
        std::vector<double> times;
        for (int n = 1; n <= repeats; ++n) {
            auto changed = other;
            changed.incarnation_number.value += static_cast<std::uint64_t>(n);
            cluster_.input(id, [&](auto& table) {
                table.on_gossip_reply({other.instance, changed.incarnation_number, 0, 0},
                                      {0, {changed}, {}, {}});
                const auto before = processor_seconds();
                const auto view = table.take_changed_view();
                times.push_back(processor_seconds() - before);
            });
        }
        std::sort(times.begin(), times.end());
        return times[times.size() / 2];
    }

    sample figures(std::uint64_t count, double processor, double seconds) const {
        const auto each = static_cast<double>(instances_) * seconds;
        return {{{"instances", static_cast<double>(instances_)},
                 {"changes_per_day", static_cast<double>(count) * seconds_a_day / seconds}},
                {{"cpu_s_per_s", processor / each},
                 {"sent_bytes_per_s", static_cast<double>(link_.total_sent_bytes) / each},
                 {"most_sent_bytes_per_s", static_cast<double>(link_.most_sent()) / seconds},
                 {"received_bytes_per_s", static_cast<double>(link_.received_bytes) / each},
                 {"sent_messages_per_s", static_cast<double>(link_.messages) / each},
                 {"heap_bytes", heap_per_instance_},
                 {"view_ms", view_seconds_ * 1000}}};
    }

    std::uint64_t instances_;
    counting_link link_;
    membership::virtual_cluster<counting_link> cluster_;
    std::vector<membership::instance_list_entry> list_;
    double heap_per_instance_ = 0;
    double view_seconds_ = 0;
    std::uint64_t next_ = 1;
};

std::vector<sample> run(const capacity_options& options) {
    std::vector<sample> samples;
    for (const auto instances : options.instances) {
        member_run it{instances, options};
        for (const auto changes : options.changes) {
            samples.push_back(it.measure(changes, options.seconds));
        }
    }
    return samples;
}

const kernel::extension_point<measurement>::registration registered{
    {"member_table",
     "per instance; processor time includes encoding, decoding and the simulated network",
     {"instances", "changes_per_day"},
     run}};

}  // namespace
}  // namespace poplarfront::capacity
