#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gateway/crash_quarantine.h"
#include "gateway/request_parts.h"
#include "routing/replica_stats.h"

namespace poplarfront::gateway {

/// What one request and its attempts have to do with crashes of backend servers: whether the
/// request is being sent as a trial, and what its lost connections and replies show.
///
/// A request that the deployment has quarantined is sent to one backend server when this instance
/// is granted the trial. A gather that loses several connections itself counts as quarantined too:
/// one of its parts is retried before the others.
///
/// Not thread-safe; used by one traffic thread.
class request_trial {
public:
    /// What the result of an attempt shows.
    enum class evidence {
        none,
        /// The backend server may have crashed; a probe has to follow.
        connection_lost,
        /// The backend server has survived the trial, which has ended.
        trial_survived,
    };

    /// `is_gather`: whether the request has several parts. Precondition: `quarantine` outlives this
    /// object.
    request_trial(crash_quarantine& quarantine, request_fingerprint fingerprint, bool is_gather)
        : quarantine_(quarantine), fingerprint_(fingerprint), is_gather_(is_gather) {}

    /// Whether no trial is claimed or under way.
    [[nodiscard]] bool idle() const { return state_ == state::none; }
    /// Whether the decision on a claim is pending.
    [[nodiscard]] bool claimed() const { return state_ == state::claimed; }
    /// Whether one lost part is being retried before the others.
    [[nodiscard]] bool retrying() const { return state_ == state::retrying; }
    /// Whether such a retry has ended; there is only one for each request.
    [[nodiscard]] bool retry_ended() const { return retry_ended_; }
    /// Whether a probe has no result yet.
    [[nodiscard]] bool probing() const { return open_probes_ > 0; }
    /// The part of the trial. Precondition: a trial is or was under way.
    [[nodiscard]] std::size_t part() const { return part_; }
    /// Whether the trial that is under way is that of this part.
    [[nodiscard]] bool includes(std::size_t part) const {
        return part == part_ && (state_ == state::running || state_ == state::retrying);
    }
    /// Whether the quarantine forbids that the request is sent for a part.
    [[nodiscard]] bool forbids(std::size_t part, const model::service_id& service) const;
    /// Whether a backend server lost a connection so recently that a trial there shows nothing.
    [[nodiscard]] bool is_unfit(const backend_entry& backend,
                                const routing::replica_stats& replicas,
                                kernel::time_point now) const;

    /// Claims the trial of the request; `on_decision` may be called later.
    void claim(crash_quarantine::trial_decision_handler on_decision);
    /// Ends the wait for the decision, if there is one.
    void abandon_claim();
    void on_denied() { state_ = state::none; }
    /// Starts the granted trial with the part whose service is suspected to crash.
    void on_granted(const request_parts& parts);
    /// Starts the retry of one lost part. Precondition: idle(), not retry_ended().
    void start_retry(std::size_t part);
    /// Ends the trial that is under way. After a retry that survived, the lost connections of
    /// `attempts` do not count as crashes.
    void end(crash_quarantine::trial_outcome outcome, const std::vector<backend_attempt>& attempts,
             kernel::time_point now);
    /// Ends the trial, if there is one, since the request ends.
    void leave(bool has_not_run, const std::vector<backend_attempt>& attempts,
               kernel::time_point now);

    /// Records whether a backend server has survived the request, also after the answer.
    evidence on_result(std::vector<backend_attempt>& attempts, std::size_t number,
                       const attempt_result& result, kernel::time_point now);
    /// Records the result of the probe that followed a lost connection.
    void on_probe_result(std::vector<backend_attempt>& attempts, std::size_t number,
                         bool accepts_connections, kernel::time_point now);

private:
    enum class state {
        none,
        claimed,
        /// The trial of a quarantined request, granted to this instance.
        running,
        retrying,
    };

    /// Revokes the crashes of a gather whose connections were reset: the backend servers accept new
    /// ones, and at least as many others have executed the request. A request that crashes backend
    /// servers does so at all that execute it. A connection alone shows little, since it may be
    /// accepted on behalf of a process that has crashed.
    void disprove_resets(std::vector<backend_attempt>& attempts, kernel::time_point now);

    crash_quarantine& quarantine_;
    request_fingerprint fingerprint_;
    bool is_gather_;
    state state_ = state::none;
    std::size_t part_ = 0;
    /// Number of attempts whose connection was lost while the request may have been executed.
    std::ptrdiff_t lost_count_ = 0;
    std::uint32_t open_probes_ = 0;
    bool retry_ended_ = false;
};

}  // namespace poplarfront::gateway
