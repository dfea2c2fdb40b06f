#pragma once

#include <cstddef>
#include <vector>

#include "gateway/request_part.h"
#include "gateway/route.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::gateway {

/// The parts of one request, and whether they suffice for an answer: a gather needs its minimum
/// coverage, any other request its single part.
///
/// Not thread-safe; used by one traffic thread.
class request_parts {
public:
    /// No parts.
    request_parts() = default;

    /// Creates the parts for the target of `route`. A weighted split draws from `random`.
    /// Precondition: `view` outlives the parts.
    static request_parts create(const route& route, const fleet_view& view,
                                kernel::seeded_random_source& random);

    [[nodiscard]] std::size_t size() const { return parts_.size(); }
    /// Precondition: `index` is less than size().
    [[nodiscard]] request_part& operator[](std::size_t index) { return parts_[index]; }
    [[nodiscard]] const request_part& operator[](std::size_t index) const { return parts_[index]; }
    [[nodiscard]] auto begin() { return parts_.begin(); }
    [[nodiscard]] auto end() { return parts_.end(); }
    [[nodiscard]] auto begin() const { return parts_.begin(); }
    [[nodiscard]] auto end() const { return parts_.end(); }

    /// How many parts an answer needs at least.
    [[nodiscard]] std::size_t needed_count() const { return needed_count_; }
    [[nodiscard]] std::size_t count(part_state state) const;
    [[nodiscard]] std::size_t answered_count() const { return count(part_state::answered); }
    /// Number of parts that get no reply unless refused ones are retried.
    [[nodiscard]] std::size_t failed_count() const {
        return count(part_state::failed) + count(part_state::refused);
    }
    /// Whether enough parts are answered for an answer to the client.
    [[nodiscard]] bool coverage_suffices() const { return answered_count() >= needed_count_; }
    /// Whether enough parts are left for an answer if `missing` of them get no reply.
    [[nodiscard]] bool can_succeed_without(std::size_t missing) const {
        return parts_.size() - missing >= needed_count_;
    }
    /// Whether it is certain that no backend server has run the request.
    [[nodiscard]] bool has_not_run() const;

private:
    void add(const model::service_id& service, const fleet_view& view);

    std::vector<request_part> parts_;
    std::size_t needed_count_ = 1;
};

}  // namespace poplarfront::gateway
