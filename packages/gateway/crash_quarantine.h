#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "gateway/crash_quarantine_options.h"
#include "gateway/crash_record.h"

namespace poplarfront::gateway {

/// Quarantines requests that crash backend servers, from the crashes that this instance observes
/// and the common records of all instances. A reply from a service disproves the crashes recorded
/// for it. A quarantined request is released by a successful trial.
///
/// Not thread-safe; each traffic thread has its own.
class crash_quarantine {
public:
    enum class admission { allowed, refused, trial_due };
    enum class trial_outcome {
        /// The backend server has executed the request and replied.
        survived,
        /// The connection was lost, or there was no reply.
        failed,
        /// No backend server has executed the request.
        not_run,
    };
    using trial_decision_handler = std::function<void(bool granted, kernel::time_point now)>;

    /// How changes reach the other instances. Empty functions are not called.
    struct publication {
        std::function<void(const crash_table_change&)> change;
        /// Asks for the exclusive right to run a trial; answered by on_trial_decision().
        std::function<void(const crash_trial&)> claim_trial;
    };

    explicit crash_quarantine(crash_quarantine_options options = {}) : options_(options) {}

    /// Precondition: no crash has been observed yet.
    void set_publication(publication publication) { publication_ = std::move(publication); }

    [[nodiscard]] const crash_quarantine_options& options() const { return options_; }

    /// Replaces the common records.
    void on_table(std::shared_ptr<const crash_table> table, kernel::time_point now);

    /// Handles a connection that was lost while the backend server may have been executing the
    /// request.
    void on_crash(const crash_record& record, kernel::time_point now);

    /// Handles a reply to a request that the service has executed, which shows that the request
    /// does not crash its backend servers.
    void on_executed(request_fingerprint fingerprint, const model::service_id& service,
                     kernel::time_point now);

    /// Handles a reply, to any request, of a backend server's process. A process that replies soon
    /// after a connection to it was lost has not crashed.
    void on_reply(const backend_entry& backend, kernel::time_point now);

    /// Removes crashes that were not caused by the request. Those of other requests are ignored.
    void on_disproved(request_fingerprint fingerprint, const std::set<crash_record>& crashes,
                      kernel::time_point now);

    /// Whether a request may be sent to backend servers. Writes its records again if they are old.
    [[nodiscard]] admission admit(request_fingerprint fingerprint, kernel::time_point now);

    /// Whether the request has crashed too many backend servers.
    [[nodiscard]] bool quarantined(request_fingerprint fingerprint) const {
        return !is_clean() && crash_count(fingerprint) >= options_.threshold;
    }
    /// Whether at least one crash is recorded for the request.
    [[nodiscard]] bool suspected(request_fingerprint fingerprint) const {
        return !is_clean() && crash_count(fingerprint) > 0;
    }
    /// Whether a crash of a backend server of this service is recorded for the request.
    [[nodiscard]] bool suspected_at(request_fingerprint fingerprint,
                                    const model::service_id& service) const;

    /// Number of requests with common records.
    [[nodiscard]] std::size_t shared_request_count() const {
        return table_ == nullptr ? 0 : table_->requests.size();
    }

    /// Whether the service has executed the quarantined request after the last crash that this
    /// instance knows of there, so that the request may be sent to it.
    [[nodiscard]] bool known_to_execute(request_fingerprint fingerprint,
                                        const model::service_id& service) const;

    /// Claims the next trial of a request; `on_decision` is called later, unless abandon_trial() is
    /// called first. Precondition: admit() has returned `trial_due`.
    void claim_trial(request_fingerprint fingerprint, trial_decision_handler on_decision);
    /// Ends the wait for the decision. A trial that is granted later is returned.
    void abandon_trial(request_fingerprint fingerprint);
    void on_trial_decision(const crash_trial& trial, bool granted, kernel::time_point now);

    /// Ends the granted trial of this instance, if there is one. One that was not run is returned,
    /// so that it does not count.
    void on_trial_ended(request_fingerprint fingerprint, trial_outcome outcome,
                        kernel::time_point now);

private:
    struct entry {
        /// Crashes observed by this instance that the common records do not contain yet, with the
        /// time of the observation.
        std::map<crash_record, kernel::time_point> unpublished;
        /// Disproved crashes that the common records still contain.
        std::set<crash_record> disproved;
        /// The services that have executed the request since its first crash.
        std::set<model::service_id> executed;
        kernel::time_point changed_at{};
        /// The trial that this instance has claimed or runs.
        std::optional<crash_trial> trial;
        trial_decision_handler on_trial_decision;
    };

    struct observed_crash {
        crash_record record;
        kernel::time_point at;
    };

    [[nodiscard]] bool is_clean() const {
        return entries_.empty() && (table_ == nullptr || table_->requests.empty());
    }
    [[nodiscard]] const suspected_request* shared(request_fingerprint fingerprint) const;
    [[nodiscard]] std::set<crash_record> crashes_of(request_fingerprint fingerprint) const;
    [[nodiscard]] std::size_t crash_count(request_fingerprint fingerprint) const {
        return crashes_of(fingerprint).size();
    }
    [[nodiscard]] bool trial_due(request_fingerprint fingerprint, kernel::time_point now) const;
    [[nodiscard]] crash_trial next_trial(request_fingerprint fingerprint) const;
    void remove(request_fingerprint fingerprint, const std::set<crash_record>& crashes,
                std::set<crash_trial> trials, kernel::time_point now);
    void remove_expired(kernel::time_point now);
    /// Whether no further request may have unpublished crashes.
    [[nodiscard]] bool is_full() const;
    void publish(const crash_table_change& change) const {
        if (publication_.change) {
            publication_.change(change);
        }
    }

    crash_quarantine_options options_;
    publication publication_;
    std::shared_ptr<const crash_table> table_;
    std::map<request_fingerprint, entry> entries_;
    /// The crashes observed here within the last `survival_window`, oldest first.
    std::deque<observed_crash> recent_;
};

}  // namespace poplarfront::gateway
