#include "bench/backend_fake.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace poplarfront::bench {

std::vector<model::record> records_of(const model::pinned_snapshot& snapshot,
                                      const model::shard_ref& shard,
                                      const model::request_id& request) {
    const auto cut = std::to_string(snapshot.map_revision.value);
    const auto version = std::to_string(snapshot.version.value);
    return {{shard.shard.text() + "/" + cut, version + "@" + request.text()}};
}

void backend_fake::arrive(std::uint64_t id, const model::shard_attempt& attempt) {
    const auto status = check(attempt);
    if (status != model::attempt_status::ok) {
        answer(id, attempt, status);
        return;
    }
    waiting_.emplace_back(id, attempt);
    run_next();
}

bool backend_fake::cancel(std::uint64_t id) {
    const bool waited =
        std::erase_if(waiting_, [id](const auto& it) { return it.first == id; }) > 0;
    const bool ran = running_.erase(id) > 0;
    run_next();
    return waited || ran;
}

std::vector<std::uint64_t> backend_fake::stop() {
    std::vector<std::uint64_t> lost;
    for (const auto& it : running_) {
        lost.push_back(it.first);
    }
    for (const auto& it : waiting_) {
        lost.push_back(it.first);
    }
    running_.clear();
    waiting_.clear();
    down_ = true;
    return lost;
}

void backend_fake::start() {
    down_ = false;
    cold_left_ = cold_requests;
}

model::attempt_status backend_fake::check(const model::shard_attempt& attempt) const {
    const auto map = attempt.snapshot.map_revision.value;
    const auto version = attempt.snapshot.version.value;
    if (draining_) {
        return model::attempt_status::draining;
    }
    if (map < oldest_map_ || map > newest_map_) {
        return model::attempt_status::wrong_map;
    }
    if (version > newest_ || version + versions_held <= newest_) {
        return model::attempt_status::version_unavailable;
    }
    const bool full = waiting_.size() >= queue_per_slot * work_.slots;
    return full ? model::attempt_status::shed : model::attempt_status::ok;
}

void backend_fake::run_next() {
    while (running_.size() < work_.slots && !waiting_.empty()) {
        const auto [id, attempt] = waiting_.front();
        waiting_.pop_front();
        if (events_.now() >= attempt.deadline) {
            answer(id, attempt, model::attempt_status::timed_out);
        } else {
            run(id, attempt);
        }
    }
}

void backend_fake::run(std::uint64_t id, const model::shard_attempt& attempt) {
    running_.emplace(id, attempt);
    events_.after(execution_ms(), [this, id, attempt] {
        if (running_.erase(id) > 0) {
            answer(id, attempt, model::attempt_status::ok);
            run_next();
        }
    });
}

double backend_fake::execution_ms() {
    // Box-Muller; the second value is not needed.
    const double radius = std::sqrt(-2 * std::log(1 - kernel::uniform_unit(random_)));
    const double normal = radius * std::cos(2 * std::numbers::pi * kernel::uniform_unit(random_));
    const double cold = cold_left_ > 0 ? cold_slowness : 1;
    cold_left_ = std::max(0, cold_left_ - 1);
    return work_.median_ms * std::exp(work_.sigma * normal) * slowness_ * cold;
}

double backend_fake::reported_load() {
    constexpr auto report_interval = std::chrono::milliseconds{500};
    if (events_.now() >= reported_at_ + report_interval) {
        reported_at_ = events_.now();
        const auto busy = static_cast<double>(running_.size() + waiting_.size());
        report_ = std::min(1.0, busy / static_cast<double>(queue_per_slot * work_.slots));
    }
    return report_;
}

void backend_fake::answer(std::uint64_t id, const model::shard_attempt& attempt,
                          model::attempt_status status) {
    model::attempt_reply reply{attempt.request, attempt.attempt, attempt.searcher,
                               attempt.shard,   attempt.server,  status};
    reply.versions = model::version_range{{newest_ - versions_held + 1}, {newest_}};
    reply.reported_load = reported_load();
    if (status == model::attempt_status::ok) {
        reply.version = attempt.snapshot.version;
        reply.records = records_of(attempt.snapshot, attempt.shard, attempt.request);
    }
    reply_(id, std::move(reply));
}

}  // namespace poplarfront::bench
