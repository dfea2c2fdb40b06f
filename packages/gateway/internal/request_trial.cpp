#include "gateway/request_trial.h"

#include <algorithm>
#include <set>
#include <utility>

namespace poplarfront::gateway {

bool request_trial::forbids(std::size_t part, const model::service_id& service) const {
    return !includes(part) && quarantine_.quarantined(fingerprint_) &&
           !quarantine_.known_to_execute(fingerprint_, service);
}

bool request_trial::is_unfit(const backend_entry& backend, const routing::replica_stats& replicas,
                             kernel::time_point now) const {
    return state_ == state::running &&
           replicas.lost_within(backend.id, quarantine_.options().unfit_after_loss, now);
}

void request_trial::claim(crash_quarantine::trial_decision_handler on_decision) {
    state_ = state::claimed;
    quarantine_.claim_trial(fingerprint_, std::move(on_decision));
}

void request_trial::abandon_claim() {
    if (state_ == state::claimed) {
        state_ = state::none;
        quarantine_.abandon_trial(fingerprint_);
    }
}

void request_trial::on_granted(const request_parts& parts) {
    state_ = state::running;
    const auto suspected = std::find_if(parts.begin(), parts.end(), [&](const auto& it) {
        return quarantine_.suspected_at(fingerprint_, it.service);
    });
    part_ = suspected == parts.end() ? std::size_t{0}
                                     : static_cast<std::size_t>(suspected - parts.begin());
}

void request_trial::start_retry(std::size_t part) {
    state_ = state::retrying;
    part_ = part;
}

void request_trial::end(crash_quarantine::trial_outcome outcome,
                        const std::vector<backend_attempt>& attempts, kernel::time_point now) {
    const bool was_retry = std::exchange(state_, state::none) == state::retrying;
    retry_ended_ = retry_ended_ || was_retry;
    if (was_retry && outcome == crash_quarantine::trial_outcome::survived) {
        std::set<crash_record> crashes;
        for (const auto& it : attempts) {
            if (it.lost) {
                crashes.insert(crash_record_of(fingerprint_, *it.backend));
            }
        }
        quarantine_.on_disproved(fingerprint_, crashes, now);
    }
    quarantine_.on_trial_ended(fingerprint_, outcome, now);
}

void request_trial::leave(bool has_not_run, const std::vector<backend_attempt>& attempts,
                          kernel::time_point now) {
    abandon_claim();
    if (state_ != state::none) {
        end(has_not_run ? crash_quarantine::trial_outcome::not_run
                        : crash_quarantine::trial_outcome::failed,
            attempts, now);
    }
}

request_trial::evidence request_trial::on_result(std::vector<backend_attempt>& attempts,
                                                 std::size_t number, const attempt_result& result,
                                                 kernel::time_point now) {
    auto& attempt = attempts.at(number);
    if (result.end == attempt_end::lost) {
        attempt.lost = true;
        ++lost_count_;
        ++open_probes_;
        quarantine_.on_crash(crash_record_of(fingerprint_, *attempt.backend), now);
        return evidence::connection_lost;
    }
    if (result.end != attempt_end::replied || result.reply.misdirected) {
        return evidence::none;
    }
    quarantine_.on_reply(*attempt.backend, now);
    if (!result.reply.executed) {
        return evidence::none;
    }
    quarantine_.on_executed(fingerprint_, attempt.backend->service, now);
    attempt.executed = true;
    disprove_resets(attempts, now);
    if (!includes(attempt.part)) {
        return evidence::none;
    }
    end(crash_quarantine::trial_outcome::survived, attempts, now);
    return evidence::trial_survived;
}

void request_trial::on_probe_result(std::vector<backend_attempt>& attempts, std::size_t number,
                                    bool accepts_connections, kernel::time_point now) {
    --open_probes_;
    attempts.at(number).accepts_connections = accepts_connections;
    disprove_resets(attempts, now);
}

void request_trial::disprove_resets(std::vector<backend_attempt>& attempts,
                                    kernel::time_point now) {
    if (!is_gather_ || lost_count_ == 0) {
        return;
    }
    const auto executed =
        std::count_if(attempts.begin(), attempts.end(), [](const auto& it) { return it.executed; });
    if (executed < lost_count_) {
        return;
    }
    std::set<crash_record> resets;
    for (auto& it : attempts) {
        if (it.lost && it.accepts_connections) {
            it.lost = false;
            resets.insert(crash_record_of(fingerprint_, *it.backend));
        }
    }
    if (!resets.empty()) {
        quarantine_.on_disproved(fingerprint_, resets, now);
    }
}

}  // namespace poplarfront::gateway
