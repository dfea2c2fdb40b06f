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

/// Hash of searcher and query text. For one shard, queries with the same fingerprint are the same
/// work for a backend server.
using query_fingerprint = std::uint64_t;

/// The services are not part of the fingerprint, because an owner does not know all services of a
/// query.
[[nodiscard]] inline query_fingerprint fingerprint_of(const model::searcher_id& searcher,
                                                      const std::string& query) {
    return model::stable_hash(query, model::stable_hash(searcher.text()));
}

/// The gossip of one instance about a query that may crash backend servers. The merge is a set
/// union, so gossip that arrives repeatedly or returns to its sender does not change a live entry.
struct crash_announcement {
    query_fingerprint fingerprint = 0;
    /// The backend servers with a crash symptom.
    std::vector<model::server_id> crashed;
    bool quarantined = false;
    friend auto operator<=>(const crash_announcement&, const crash_announcement&) = default;
};

struct crash_quarantine_options {
    /// The number of crashed backend servers at which a query is quarantined. Several connections
    /// lost to one backend server count once, because its crash ends all of them.
    std::size_t threshold = 2;
    kernel::duration crash_symptom_lifetime = std::chrono::seconds{60};
    kernel::duration quarantine_lifetime = std::chrono::minutes{10};
    std::size_t max_entries = 10'000;
    /// The most fingerprints known to be good; about 50 bytes each.
    std::size_t max_known_good = 20'000;
};

/// Tracks queries during which connections to backend servers were lost, and quarantines those that
/// crash backend servers, so that they are refused. Not thread-safe.
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_options options = {}) : options_(options) {}

    /// Records a crash symptom: a connection to `server` was lost while it may have been executing
    /// the query.
    void on_crash_symptom(query_fingerprint query, const model::server_id& server,
                          kernel::time_point now) {
        remove_known_good(query);
        add({query, {server}, false}, now);
    }

    /// Records that a backend server has replied to the query for one shard, which makes the query
    /// known to be good.
    void on_successful_reply(query_fingerprint query) {
        end_trial(query);
        if (known_good_.size() >= options_.max_known_good / 2) {
            // Only the older half is removed. If all were removed, every query would need a canary
            // again at the same time.
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

    /// The number of backend servers with a crash symptom of this query.
    [[nodiscard]] std::size_t crash_symptom_count(query_fingerprint query,
                                                  kernel::time_point now) const {
        const auto* found = find(query, now);
        return found == nullptr ? 0 : found->crashed.size();
    }

    /// Returns whether the query may be sent again. For a query with crash symptoms that is not
    /// known to be good this starts a trial. Only one trial of a query runs at a time, so that its
    /// shards do not each crash a second replica. A trial ends with a successful reply, with a
    /// crash symptom of another backend server, with end_trial(), or at `until`. Expired entries
    /// count until the next crash symptom or announcement removes them.
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

    /// Ends a trial that neither succeeded nor lost its connection.
    void end_trial(query_fingerprint query) {
        if (const auto it = entries_.find(query); it != entries_.end()) {
            it->second.trial_until.reset();
        }
    }

    /// Merges an announcement of another instance or of the store.
    void merge(const crash_announcement& announcement, kernel::time_point now) {
        add(announcement, now);
    }

    /// The announcements of all queries with crash symptoms and all quarantined queries.
    [[nodiscard]] std::vector<crash_announcement> announcements(kernel::time_point now) const {
        std::vector<crash_announcement> all;
        for (const auto& [query, found] : entries_) {
            if (now < found.expires) {
                all.push_back(
                    {query, {found.crashed.begin(), found.crashed.end()}, found.quarantined});
            }
        }
        return all;
    }

    /// The announcements that changed since the last call, for an immediate push to other
    /// instances.
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
        const bool must_quarantine =
            announcement.quarantined || found.crashed.size() >= options_.threshold;
        const bool newly_quarantined = must_quarantine && !found.quarantined;
        if (!is_new && found.crashed.size() == before && !newly_quarantined) {
            // Repeated gossip must not extend the lifetime of an entry.
            return;
        }
        remove_known_good(announcement.fingerprint);
        found.quarantined = found.quarantined || must_quarantine;
        found.expires = now + (found.quarantined ? options_.quarantine_lifetime
                                                 : options_.crash_symptom_lifetime);
        found.trial_until.reset();
        changed_.insert(announcement.fingerprint);
    }

    void remove_known_good(query_fingerprint query) {
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
