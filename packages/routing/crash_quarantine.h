#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kernel/concepts.h"
#include "model/identifier.h"

namespace poplarfront::routing {

/// Identifies queries that are the same work for a backend server.
using query_fingerprint = std::uint64_t;

/// The services are left out, because an owner does not learn all services of a query.
[[nodiscard]] inline query_fingerprint fingerprint_of(const model::searcher_id& searcher,
                                                      const std::string& query) {
    return model::stable_hash(query, model::stable_hash(searcher.text()));
}

/// What one instance tells the others about a query that may crash backend servers. Merging is a
/// union, so repeated and looping gossip changes nothing.
struct crash_announcement {
    query_fingerprint fingerprint = 0;
    std::vector<model::server_id> crashed;
    bool quarantined = false;
    friend auto operator<=>(const crash_announcement&, const crash_announcement&) = default;
};

struct crash_quarantine_options {
    /// Crashed backend servers that put a query into quarantine. Several connections lost to one
    /// backend server are a single symptom, since its restart breaks all of them.
    std::size_t threshold = 2;
    kernel::duration crash_symptom_lifetime = std::chrono::seconds{60};
    kernel::duration quarantine_lifetime = std::chrono::minutes{10};
    std::size_t max_entries = 10'000;
    /// About 50 bytes each.
    std::size_t max_known_good = 20'000;
    /// Whether a complete reply clears a query of its symptoms. It does where a query that crashes
    /// one backend server crashes each one.
    bool complete_reply_clears = false;
};

/// Tracks queries after which connections were lost, and refuses those that crash backend servers.
/// Not thread-safe.
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_options options = {}) : options_(options) {}

    /// Counts a connection lost while `server` may have been executing the query.
    void on_crash_symptom(query_fingerprint query, const model::server_id& server,
                          kernel::time_point now) {
        forget_good(query);
        add({query, {server}, false}, now);
    }

    /// Takes a complete reply to the query.
    void on_complete_reply(query_fingerprint query) {
        if (options_.complete_reply_clears) {
            entries_.erase(query);
        }
        end_trial(query);
        if (known_good_.size() >= options_.max_known_good / 2) {
            // The older half goes, so that a full list does not cost every query a canary at once.
            older_known_good_ = std::exchange(known_good_, {});
        }
        known_good_.insert(query);
    }

    [[nodiscard]] bool known_good(query_fingerprint query) const {
        return known_good_.contains(query) || older_known_good_.contains(query);
    }

    [[nodiscard]] bool quarantined(query_fingerprint query, kernel::time_point now) const {
        const auto* found = find(query, now);
        return found != nullptr && found->quarantined;
    }

    /// The backend servers lost so far.
    [[nodiscard]] std::size_t crash_symptom_count(query_fingerprint query,
                                                  kernel::time_point now) const {
        const auto* found = find(query, now);
        return found == nullptr ? 0 : found->crashed.size();
    }

    /// Whether the query may be sent once more after a symptom. Only one such trial runs at a time,
    /// so that the shards of one query do not each lose a second replica. It ends with
    /// on_complete_reply, with the next symptom, with end_trial, or at `until`.
    bool try_start_trial(query_fingerprint query, kernel::time_point now,
                         kernel::time_point until) {
        const auto it = entries_.find(query);
        if (known_good(query) || it == entries_.end()) {
            return true;
        }
        auto& trial = it->second.trial_until;
        if (it->second.quarantined || (trial && now < *trial)) {
            return false;
        }
        trial = until;
        return true;
    }

    /// Ends a trial that showed nothing about the query.
    void end_trial(query_fingerprint query) {
        if (const auto it = entries_.find(query); it != entries_.end()) {
            it->second.trial_until.reset();
        }
    }

    /// Merges what another instance announced, or what the store holds.
    void merge(const crash_announcement& announcement, kernel::time_point now) {
        add(announcement, now);
    }

    /// All that is worth telling to others: symptoms and quarantined queries.
    [[nodiscard]] std::vector<crash_announcement> announcements(kernel::time_point now) const {
        std::vector<crash_announcement> all;
        for (const auto& [query, it] : entries_) {
            if (now < it.expires) {
                all.push_back({query, {it.crashed.begin(), it.crashed.end()}, it.quarantined});
            }
        }
        return all;
    }

    /// Announcements that changed since the last call, for an immediate push.
    [[nodiscard]] std::vector<crash_announcement> take_changes(kernel::time_point now) {
        if (changed_.empty()) {
            return {};
        }
        auto changed = announcements(now);
        std::erase_if(changed, [&](const auto& it) { return !changed_.contains(it.fingerprint); });
        changed_.clear();
        return changed;
    }

private:
    struct entry {
        std::set<model::server_id> crashed;
        bool quarantined = false;
        kernel::time_point expires;
        std::optional<kernel::time_point> trial_until;
    };

    [[nodiscard]] const entry* find(query_fingerprint query, kernel::time_point now) const {
        const auto it = entries_.find(query);
        return it == entries_.end() || now >= it->second.expires ? nullptr : &it->second;
    }

    void add(const crash_announcement& announcement, kernel::time_point now) {
        remove_expired(now);
        if (entries_.size() >= options_.max_entries &&
            !entries_.contains(announcement.fingerprint)) {
            return;
        }
        const auto [it, is_new] = entries_.try_emplace(announcement.fingerprint);
        auto& found = it->second;
        const auto before = found.crashed.size();
        found.crashed.insert(announcement.crashed.begin(), announcement.crashed.end());
        const bool over = announcement.quarantined || found.crashed.size() >= options_.threshold;
        const bool newly_quarantined = over && !found.quarantined;
        if (!is_new && found.crashed.size() == before && !newly_quarantined) {
            // Repeated gossip must not prolong an entry for ever.
            return;
        }
        forget_good(announcement.fingerprint);
        found.quarantined = found.quarantined || over;
        found.expires = now + (found.quarantined ? options_.quarantine_lifetime
                                                 : options_.crash_symptom_lifetime);
        found.trial_until.reset();
        changed_.insert(announcement.fingerprint);
    }

    void forget_good(query_fingerprint query) {
        known_good_.erase(query);
        older_known_good_.erase(query);
    }

    void remove_expired(kernel::time_point now) {
        std::erase_if(entries_, [&](const auto& it) { return now >= it.second.expires; });
    }

    crash_quarantine_options options_;
    std::map<query_fingerprint, entry> entries_;
    std::set<query_fingerprint> known_good_;
    std::set<query_fingerprint> older_known_good_;
    std::set<query_fingerprint> changed_;
};

}  // namespace poplarfront::routing
