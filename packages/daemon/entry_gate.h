#pragma once

#include <boost/fiber/future.hpp>
#include <map>
#include <memory>
#include <optional>

#include "admission/admission_controller.h"
#include "configuration/configuration_snapshot.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::daemon {

/// Admission of requests on one traffic thread: fibers wait in it for their turn.
///
/// Thread safety: used on fibers of one thread.
class entry_gate {
public:
    /// `threads` is the number of traffic threads, each with a gate of its own.
    explicit entry_gate(std::size_t threads);

    /// Suspends the fiber until the request may start. Returns why it is refused; nothing if it may
    /// start, and then one of the two releases must be called.
    std::optional<admission::refusal_reason> acquire(const model::searcher_id& searcher,
                                                     std::span<const model::service_id> services,
                                                     kernel::time_point deadline);

    /// A started request has ended after `latency`; `shed` if it was refused downstream.
    void release(kernel::duration latency, bool shed);

    /// A started request has ended; its latency says nothing about the load of this tier.
    void release_unmeasured();

    /// Puts the shares and limits of a configuration in force. Shares are divided among the gates
    /// of `instances` instances.
    void apply(const configuration::configuration_snapshot& configuration, std::size_t instances);

    [[nodiscard]] std::size_t waiting() const { return gate_.waiting(); }
    [[nodiscard]] std::uint32_t in_flight() const { return gate_.limit().in_flight(); }
    [[nodiscard]] double limit() const { return gate_.limit().limit(); }
    /// Requests refused so far.
    [[nodiscard]] std::uint64_t refused() const { return refused_; }

private:
    using decision = std::optional<admission::refusal_reason>;
    using promise = boost::fibers::promise<decision>;

    /// Passes decisions to the fibers that wait for them.
    class decisions {
    public:
        void add(std::uint64_t id, std::shared_ptr<promise> waiting) {
            waiting_.emplace(id, std::move(waiting));
        }
        void start(std::uint64_t id) { settle(id, std::nullopt); }
        void refuse(const admission::refusal& refused) { settle(refused.id, refused.reason); }

    private:
        void settle(std::uint64_t id, decision value);

        std::map<std::uint64_t, std::shared_ptr<promise>> waiting_;
    };

    std::size_t threads_;
    kernel::steady_clock_source clock_;
    decisions decisions_;
    admission::admission_controller<kernel::steady_clock_source, decisions> gate_;
    std::uint64_t last_id_ = 0;
    std::uint64_t refused_ = 0;
    model::revision revision_;
    std::size_t parts_ = 0;
};

}  // namespace poplarfront::daemon
