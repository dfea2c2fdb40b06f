#include <algorithm>

#include "capacity/counting_link.h"
#include "capacity/measurement.h"

namespace poplarfront::capacity {
namespace {

using namespace std::chrono_literals;
using model::instance_status;

constexpr int repeats = 5;
constexpr kernel::duration fine_step = 50ms;
constexpr kernel::duration coarse_step = 1s;
constexpr kernel::duration give_up = 10min;
// Long enough that both sides fail all rows of the other one.
constexpr kernel::duration cut_time = 5min;

double to_seconds(kernel::duration time) {
    return std::chrono::duration<double>(time).count();
}

/// Measures how long news takes to reach every instance.
class spread_run {
public:
    spread_run(std::uint64_t instances, const capacity_options& options)
        : cluster_(link_, options.seed, {}) {
        std::vector<membership::instance_list_entry> list;
        for (std::uint64_t n = 0; n < instances; ++n) {
            list.push_back({numbered_instance(n, cluster_.now()), false});
        }
        for (const auto& it : list) {
            cluster_.start(it.row, list);
            ids_.push_back(it.row.instance);
        }
        cluster_.run_until(cluster_.now() + 10s);
    }

    sample measure_news() {
        const auto instances = static_cast<double>(ids_.size());
        double leaving = 0;
        double failed = 0;
        for (int n = 0; n < repeats; ++n) {
            leaving = std::max(leaving, leave_one());
            failed = std::max(failed, crash_one());
        }
        return {{{"instances", instances}},
                {{"leaving_known_s", leaving}, {"failure_known_s", failed}}};
    }

    sample measure_return() {
        link_.cut_off = numbered_instance(0, {}).data_centre;
        cluster_.run_until(cluster_.now() + cut_time);
        link_.cut_off.reset();
        link_.reset();
        const auto seconds = time_until(coarse_step, [&] { return all_alive(); });
        return {{{"instances", static_cast<double>(ids_.size())}},
                {{"return_s", seconds},
                 {"most_sent_bytes_per_s", static_cast<double>(link_.most_sent()) / seconds}}};
    }

private:
    double leave_one() {
        const auto id = ids_.back();
        cluster_.input(id, [](auto& table) { table.leave(); });
        const auto time =
            time_until(fine_step, [&] { return all_see(id, instance_status::leaving); });
        stop_last();
        return time;
    }

    double crash_one() {
        const auto id = ids_.back();
        stop_last();
        return time_until(fine_step, [&] { return all_see(id, instance_status::failed); });
    }

    void stop_last() {
        cluster_.stop(ids_.back());
        link_.stopped.insert(ids_.back());
        ids_.pop_back();
    }

    template <class Done>
    double time_until(kernel::duration step, Done done) {
        const auto start = cluster_.now();
        while (cluster_.now() < start + give_up) {
            cluster_.run_until(cluster_.now() + step);
            if (done()) {
                break;
            }
        }
        return to_seconds(cluster_.now() - start);
    }

    bool sees(const model::instance_id& viewer, const model::instance_id& subject,
              instance_status status) const {
        const auto* row = cluster_.table(viewer).find(subject);
        return viewer == subject || (row != nullptr && row->status == status);
    }

    bool all_see(const model::instance_id& subject, instance_status status) const {
        return std::all_of(ids_.begin(), ids_.end(),
                           [&](const auto& viewer) { return sees(viewer, subject, status); });
    }

    bool all_alive() const {
        return std::all_of(ids_.begin(), ids_.end(), [&](const auto& subject) {
            return all_see(subject, instance_status::alive);
        });
    }

    counting_link link_;
    membership::virtual_cluster<counting_link> cluster_;
    std::vector<model::instance_id> ids_;
};

std::vector<sample> run_news(const capacity_options& options) {
    // The measurement stops two instances in each repetition.
    constexpr std::uint64_t fewest = 2 * repeats + 4;
    std::vector<sample> samples;
    for (const auto instances : options.instances) {
        if (instances >= fewest) {
            samples.push_back(spread_run{instances, options}.measure_news());
        }
    }
    return samples;
}

std::vector<sample> run_return(const capacity_options& options) {
    // 1,000 instances take more than 5 minutes of processor time.
    constexpr std::uint64_t most = 300;
    std::vector<sample> samples;
    for (const auto instances : options.instances) {
        if (instances <= most) {
            samples.push_back(spread_run{instances, options}.measure_return());
        }
    }
    return samples;
}

const kernel::extension_point<measurement>::registration registered_news{
    {"member_news",
     "worst of 5: time until every instance knows of a leaving and of a failed one",
     {"instances"},
     run_news}};

const kernel::extension_point<measurement>::registration registered_return{
    {"member_return",
     "time until all rows are alive after a data centre was cut off for 5 min (600 s: not "
     "reached); up to 300 instances",
     {"instances"},
     run_return}};

}  // namespace
}  // namespace poplarfront::capacity
