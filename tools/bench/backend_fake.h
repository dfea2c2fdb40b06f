#pragma once

#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "bench/deployment.h"
#include "bench/event_queue.h"
#include "model/backend.h"

namespace poplarfront::bench {

/// A backend server in virtual time: slots, a bounded queue, shedding, cold starts, index versions
/// and load reports that lag.
class backend_fake {
public:
    /// Called with the number of the request, how it ended, and when it was executed the version.
    using reply_function = std::function<void(std::uint64_t, model::attempt_reply)>;

    backend_fake(event_queue& events, const workload& work, std::uint64_t seed,
                 reply_function reply)
        : events_(events), work_(work), random_(seed), reply_(std::move(reply)) {}

    void arrive(std::uint64_t id, const model::shard_attempt& attempt);
    /// Removes a request; false if it has ended already.
    bool cancel(std::uint64_t id);

    void set_slowness(double factor) { slowness_ = factor; }
    void set_draining() { draining_ = true; }
    void add_version() { ++newest_; }
    void add_map(std::uint64_t revision) { newest_map_ = revision; }
    void drop_maps_before(std::uint64_t revision) { oldest_map_ = revision; }
    /// Requests under way lose their connections. Returns their numbers.
    std::vector<std::uint64_t> stop();
    void start();
    [[nodiscard]] bool down() const { return down_; }

private:
    static constexpr std::size_t queue_per_slot = 16;
    static constexpr int cold_requests = 50;
    static constexpr double cold_slowness = 3;
    static constexpr std::uint64_t versions_held = 3;

    [[nodiscard]] model::attempt_status check(const model::shard_attempt& attempt) const;
    void run_next();
    void run(std::uint64_t id, const model::shard_attempt& attempt);
    double execution_ms();
    double reported_load();
    void answer(std::uint64_t id, const model::shard_attempt& attempt,
                model::attempt_status status);

    event_queue& events_;
    const workload& work_;
    kernel::seeded_random_source random_;
    reply_function reply_;
    std::deque<std::pair<std::uint64_t, model::shard_attempt>> waiting_;
    std::map<std::uint64_t, model::shard_attempt> running_;
    double slowness_ = 1;
    bool draining_ = false;
    bool down_ = false;
    int cold_left_ = 0;
    std::uint64_t newest_ = versions_held;
    std::uint64_t oldest_map_ = 1;
    std::uint64_t newest_map_ = 1;
    double report_ = 0;
    kernel::time_point reported_at_;
};

/// The records of a shard at a snapshot, in an answer to `request`.
[[nodiscard]] std::vector<model::record> records_of(const model::pinned_snapshot& snapshot,
                                                    const model::shard_ref& shard,
                                                    const model::request_id& request);

}  // namespace poplarfront::bench
