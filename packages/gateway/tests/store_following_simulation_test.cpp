#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "gateway/store_change_log.h"
#include "kernel/clock_and_random_sources.h"
#include "support/environment.h"

namespace poplarfront::gateway {
namespace {

using test_support::number_from_environment;

constexpr std::size_t key_count = 12;
constexpr std::size_t page_size = 3;
constexpr std::size_t max_deletions = 4;

/// A store with its whole history.
class simulated_store {
public:
    [[nodiscard]] std::uint64_t revision() const { return changes_.size(); }
    [[nodiscard]] const std::vector<store_change>& changes() const { return changes_; }

    void change(const std::string& key, bool deleted) {
        const auto last = last_change(key, revision());
        if (!deleted || (last != nullptr && !last->deleted)) {
            const auto revision = changes_.size() + 1;
            changes_.push_back(
                {key, deleted ? "" : "v" + std::to_string(revision), revision, deleted});
        }
    }

    /// The last change of a key up to `revision`; null if there is none.
    [[nodiscard]] const store_change* last_change(const std::string& key,
                                                  std::uint64_t revision) const {
        for (auto n = revision; n > 0; --n) {
            if (changes_[n - 1].key == key) {
                return &changes_[n - 1];
            }
        }
        return nullptr;
    }

    /// Whether a key was changed after `from` and until `until`.
    [[nodiscard]] bool changes_between(const std::string& key, std::uint64_t from,
                                       std::uint64_t until) const {
        const auto* last = last_change(key, std::min(until, revision()));
        return last != nullptr && last->revision > from;
    }

    [[nodiscard]] store_update changes_after(std::uint64_t after) const {
        store_update update;
        update.revision = revision();
        update.after = after;
        update.changes.assign(changes_.begin() + static_cast<std::ptrdiff_t>(after),
                              changes_.end());
        return update;
    }

    /// A page of the keys as of `revision`.
    [[nodiscard]] store_update page(const std::string& after_key, std::uint64_t revision) const {
        store_update page;
        page.revision = revision;
        page.listing = true;
        page.after_key = after_key;
        std::map<std::string, store_change> existing;
        for (std::uint64_t n = 0; n < revision; ++n) {
            existing[changes_[n].key] = changes_[n];
        }
        for (auto it = existing.upper_bound(after_key); it != existing.end(); ++it) {
            if (it->second.deleted) {
                continue;
            }
            if (page.changes.size() == page_size) {
                page.more = true;
                page.until_key = page.changes.back().key;
                break;
            }
            page.changes.push_back(it->second);
        }
        return page;
    }

private:
    std::vector<store_change> changes_;
};

/// Readers that read the store, followers that ask them for updates, and faults: restarts, lost
/// histories, and replies that are lost, repeated and delivered in another order.
class simulation {
public:
    explicit simulation(std::uint64_t seed) : random_(seed) {
        for (std::size_t n = 0; n < instance_count; ++n) {
            logs_.emplace_back(max_deletions);
        }
    }

    void run() {
        constexpr int steps = 400;
        for (int n = 0; n < steps; ++n) {
            step();
        }
        settle();
    }

private:
    static constexpr std::size_t reader_count = 2;
    static constexpr std::size_t instance_count = 5;

    struct reply {
        std::size_t to = 0;
        store_update update;
    };

    bool chance(std::uint64_t one_in) { return kernel::uniform_below(random_, one_in) == 0; }

    void change_store() {
        store_.change("k" + std::to_string(kernel::uniform_below(random_, key_count)), chance(3));
    }

    void step() {
        switch (kernel::uniform_below(random_, 4)) {
            case 0:
                change_store();
                break;
            case 1:
                read_store(kernel::uniform_below(random_, reader_count));
                break;
            case 2:
                request(
                    reader_count + kernel::uniform_below(random_, instance_count - reader_count),
                    kernel::uniform_below(random_, reader_count));
                break;
            default:
                deliver();
        }
        if (chance(60)) {
            const auto restarted = kernel::uniform_below(random_, instance_count);
            logs_[restarted] = store_change_log{max_deletions};
        }
    }

    void read_store(std::size_t reader) {
        auto& log = logs_[reader];
        const bool is_empty = log.revision() == 0;
        if (is_empty || chance(8)) {
            const auto stale_revision = kernel::uniform_below(random_, store_.revision() + 1);
            listing_progress progress;
            do {
                log.add_page(
                    store_.page(progress.until_key, is_empty ? stale_revision : store_.revision()),
                    progress);
                if (!is_settling_ && chance(2)) {
                    change_store();
                }
            } while (!progress.until_key.empty());
            if (is_empty && log.revision() == 0) {
                return;
            }
        }
        log.add(store_.changes_after(log.revision()));
        check(log);
        CHECK(log.revision() == store_.revision());
    }

    void request(std::size_t follower, std::size_t reader) {
        const auto max_bytes = 1 + kernel::uniform_below(random_, 300);
        if (auto update = logs_[reader].update_for(logs_[follower].position(), max_bytes)) {
            replies_.push_back({follower, *update});
            if (chance(4)) {
                replies_.push_back({follower, std::move(*update)});
            }
        }
    }

    void deliver() {
        if (replies_.empty()) {
            return;
        }
        const auto n = kernel::uniform_below(random_, replies_.size());
        const auto delivered = replies_[n];
        replies_.erase(replies_.begin() + static_cast<std::ptrdiff_t>(n));
        if (chance(5)) {
            return;
        }
        auto& log = logs_[delivered.to];
        if (log.accepts(delivered.update)) {
            log.add(delivered.update);
            check(log);
        }
    }

    /// Checks that a log holds the store's contents at its revision, or newer changes.
    void check(const store_change_log& log) const {
        const auto known = log.position();
        for (std::size_t n = 0; n < key_count; ++n) {
            const auto key = "k" + std::to_string(n);
            const auto* last = store_.last_change(key, known.revision);
            const auto it = log.existing().find(key);
            INFO("key " << key << ", revision " << known.revision);
            if (it != log.existing().end() && it->revision > known.revision) {
                continue;
            }
            // A change that was replaced may be left out until the replacing one arrives.
            const bool is_left_out = store_.changes_between(key, known.revision, known.latest);
            if (it != log.existing().end()) {
                CHECK((is_left_out || (last != nullptr && *last == *it)));
            } else {
                const bool is_deleted =
                    last == nullptr || last->deleted ||
                    store_.changes_between(key, known.revision, store_.revision());
                CHECK(is_deleted);
            }
        }
    }

    /// Without further faults, all followers get the contents of the store.
    void settle() {
        is_settling_ = true;
        replies_.clear();
        for (std::size_t n = 0; n < reader_count; ++n) {
            while (logs_[n].revision() < store_.revision()) {
                read_store(n);
            }
        }
        for (auto n = reader_count; n < instance_count; ++n) {
            int requests = 0;
            while (logs_[n].revision() < store_.revision()) {
                INFO("follower at " << logs_[n].revision() << " of " << store_.revision());
                REQUIRE(++requests < 200);
                request(n, kernel::uniform_below(random_, reader_count));
                for (const auto& it : replies_) {
                    if (logs_[n].accepts(it.update)) {
                        logs_[n].add(it.update);
                    }
                }
                replies_.clear();
            }
            CHECK(logs_[n].existing() == logs_[0].existing());
        }
        CHECK(logs_[0].existing() == logs_[1].existing());
    }

    kernel::seeded_random_source random_;
    simulated_store store_;
    bool is_settling_ = false;
    std::deque<store_change_log> logs_;
    std::deque<reply> replies_;
};

// Guards against a follower that uses a key that was deleted, or lacks one, after updates in parts
// from several readers that restart and list the store again.
TEST_CASE("followers hold the contents of the store under faults") {
    const auto first = number_from_environment("POPLARFRONT_SEED", 1);
    const auto runs = number_from_environment("POPLARFRONT_RUNS", 300);
    for (auto seed = first; seed < first + runs; ++seed) {
        INFO("POPLARFRONT_SEED=" << seed << " POPLARFRONT_RUNS=1");
        simulation{seed}.run();
    }
}

}  // namespace
}  // namespace poplarfront::gateway
