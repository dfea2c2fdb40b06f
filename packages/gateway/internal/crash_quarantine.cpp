#include "gateway/crash_quarantine.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace poplarfront::gateway {

void crash_quarantine::on_table(std::shared_ptr<const crash_table> table, kernel::time_point now) {
    if (table == table_ || table == nullptr) {
        return;
    }
    const auto before = std::exchange(table_, std::move(table));
    for (const auto& [fingerprint, request] : table_->requests) {
        if (before == nullptr || !before->requests.contains(fingerprint) ||
            before->requests.at(fingerprint) != request) {
            entries_[fingerprint].changed_at = now;
        }
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto& [fingerprint, found] = *it;
        const auto* request = shared(fingerprint);
        // A published crash is from now on removed with the common record.
        std::erase_if(found.unpublished, [&](const auto& crash) {
            return request != nullptr && request->crashes.contains(crash.first);
        });
        std::erase_if(found.disproved, [&](const auto& crash) {
            return request == nullptr || !request->crashes.contains(crash);
        });
        const bool needed = request != nullptr || !found.unpublished.empty() || found.trial;
        it = needed ? std::next(it) : entries_.erase(it);
    }
}

void crash_quarantine::on_crash(const crash_record& record, kernel::time_point now) {
    remove_expired(now);
    const auto known = crashes_of(record.fingerprint);
    if (known.contains(record) || (is_full() && !entries_.contains(record.fingerprint))) {
        return;
    }
    auto& found = entries_[record.fingerprint];
    found.disproved.erase(record);
    found.executed.erase(record.service);
    found.changed_at = now;
    const auto* request = shared(record.fingerprint);
    if (request == nullptr || !request->crashes.contains(record)) {
        found.unpublished.emplace(record, now);
    }
    recent_.push_back({record, now});
    publish({{record}, {}, {}});
}

void crash_quarantine::on_reply(const backend_entry& backend, kernel::time_point now) {
    while (!recent_.empty() && now - recent_.front().at > options_.survival_window) {
        recent_.pop_front();
    }
    if (recent_.empty()) {
        return;
    }
    const auto process = process_of(backend);
    std::vector<crash_record> disproved;
    std::erase_if(recent_, [&](const auto& it) {
        if (it.record.process != process || now - it.at < options_.max_reply_delay) {
            return false;
        }
        disproved.push_back(it.record);
        return true;
    });
    for (const auto& it : disproved) {
        on_disproved(it.fingerprint, {it}, now);
    }
}

void crash_quarantine::on_executed(request_fingerprint fingerprint,
                                   const model::service_id& service, kernel::time_point now) {
    if (is_clean()) {
        return;
    }
    auto crashes = crashes_of(fingerprint);
    std::erase_if(crashes, [&](const auto& it) { return it.service != service; });
    if (!crashes.empty()) {
        remove(fingerprint, crashes, {}, now);
    }
    if (const auto it = entries_.find(fingerprint); it != entries_.end()) {
        it->second.executed.insert(service);
    }
}

void crash_quarantine::on_disproved(request_fingerprint fingerprint,
                                    const std::set<crash_record>& crashes, kernel::time_point now) {
    auto known = crashes_of(fingerprint);
    std::erase_if(known, [&](const auto& it) { return !crashes.contains(it); });
    if (!known.empty()) {
        remove(fingerprint, known, {}, now);
    }
}

crash_quarantine::admission crash_quarantine::admit(request_fingerprint fingerprint,
                                                    kernel::time_point now) {
    if (!quarantined(fingerprint)) {
        return admission::allowed;
    }
    auto& found = entries_[fingerprint];
    if (now - found.changed_at >= options_.refresh_age) {
        found.changed_at = now;
        publish({crashes_of(fingerprint), {}, {}});
    }
    return !found.trial && trial_due(fingerprint, now) ? admission::trial_due : admission::refused;
}

bool crash_quarantine::suspected_at(request_fingerprint fingerprint,
                                    const model::service_id& service) const {
    const auto crashes = crashes_of(fingerprint);
    return std::any_of(crashes.begin(), crashes.end(),
                       [&](const auto& it) { return it.service == service; });
}

bool crash_quarantine::known_to_execute(request_fingerprint fingerprint,
                                        const model::service_id& service) const {
    const auto it = entries_.find(fingerprint);
    return it != entries_.end() && it->second.executed.contains(service) &&
           !suspected_at(fingerprint, service);
}

void crash_quarantine::claim_trial(request_fingerprint fingerprint,
                                   trial_decision_handler on_decision) {
    auto& found = entries_[fingerprint];
    found.trial = next_trial(fingerprint);
    found.on_trial_decision = std::move(on_decision);
    if (publication_.claim_trial) {
        publication_.claim_trial(*found.trial);
    }
}

void crash_quarantine::abandon_trial(request_fingerprint fingerprint) {
    if (const auto it = entries_.find(fingerprint); it != entries_.end()) {
        it->second.on_trial_decision = nullptr;
    }
}

void crash_quarantine::on_trial_decision(const crash_trial& trial, bool granted,
                                         kernel::time_point now) {
    const auto it = entries_.find(trial.fingerprint);
    if (it == entries_.end() || it->second.trial != trial) {
        return;
    }
    const auto handler = std::exchange(it->second.on_trial_decision, nullptr);
    if (!granted) {
        it->second.trial.reset();
        it->second.changed_at = now;
    } else if (!handler) {
        on_trial_ended(trial.fingerprint, trial_outcome::not_run, now);
    }
    if (handler) {
        handler(granted, now);
    }
}

void crash_quarantine::on_trial_ended(request_fingerprint fingerprint, trial_outcome outcome,
                                      kernel::time_point now) {
    const auto it = entries_.find(fingerprint);
    if (it == entries_.end() || !it->second.trial) {
        return;
    }
    std::set<crash_trial> trials{*std::exchange(it->second.trial, std::nullopt)};
    it->second.changed_at = now;
    switch (outcome) {
        case trial_outcome::survived:
            if (const auto* request = shared(fingerprint)) {
                for (const auto number : request->trials) {
                    trials.insert({fingerprint, number});
                }
            }
            remove(fingerprint, crashes_of(fingerprint), std::move(trials), now);
            return;
        case trial_outcome::not_run:
            publish({{}, {}, std::move(trials)});
            return;
        case trial_outcome::failed:
            return;
    }
}

const suspected_request* crash_quarantine::shared(request_fingerprint fingerprint) const {
    if (table_ == nullptr) {
        return nullptr;
    }
    const auto it = table_->requests.find(fingerprint);
    return it == table_->requests.end() ? nullptr : &it->second;
}

std::set<crash_record> crash_quarantine::crashes_of(request_fingerprint fingerprint) const {
    std::set<crash_record> crashes;
    if (const auto* request = shared(fingerprint)) {
        crashes = request->crashes;
    }
    if (const auto it = entries_.find(fingerprint); it != entries_.end()) {
        std::erase_if(crashes,
                      [&](const auto& crash) { return it->second.disproved.contains(crash); });
        for (const auto& [crash, observed_at] : it->second.unpublished) {
            crashes.insert(crash);
        }
    }
    return crashes;
}

bool crash_quarantine::trial_due(request_fingerprint fingerprint, kernel::time_point now) const {
    const auto* request = shared(fingerprint);
    const auto done = request == nullptr ? 0 : request->trials.size();
    if (done >= options_.trial_delays.size()) {
        return false;
    }
    const auto it = entries_.find(fingerprint);
    return it == entries_.end() || now - it->second.changed_at >= options_.trial_delays.at(done);
}

crash_trial crash_quarantine::next_trial(request_fingerprint fingerprint) const {
    const auto* request = shared(fingerprint);
    const auto last = request == nullptr || request->trials.empty() ? 0 : *request->trials.rbegin();
    return {fingerprint, last + 1};
}

void crash_quarantine::remove(request_fingerprint fingerprint,
                              const std::set<crash_record>& crashes, std::set<crash_trial> trials,
                              kernel::time_point now) {
    auto& found = entries_[fingerprint];
    const auto* request = shared(fingerprint);
    for (const auto& it : crashes) {
        found.unpublished.erase(it);
        if (request != nullptr && request->crashes.contains(it)) {
            found.disproved.insert(it);
        }
    }
    found.changed_at = now;
    publish({{}, crashes, std::move(trials)});
    if (request == nullptr && found.unpublished.empty() && !found.trial) {
        entries_.erase(fingerprint);
    }
}

void crash_quarantine::remove_expired(kernel::time_point now) {
    for (auto it = entries_.begin(); it != entries_.end();) {
        std::erase_if(it->second.unpublished, [&](const auto& crash) {
            return now - crash.second >= options_.unpublished_lifetime;
        });
        const bool needed =
            shared(it->first) != nullptr || !it->second.unpublished.empty() || it->second.trial;
        it = needed ? std::next(it) : entries_.erase(it);
    }
}

bool crash_quarantine::is_full() const {
    return entries_.size() >= options_.max_requests &&
           static_cast<std::size_t>(
               std::count_if(entries_.begin(), entries_.end(), [](const auto& it) {
                   return !it.second.unpublished.empty();
               })) >= options_.max_requests;
}

}  // namespace poplarfront::gateway
