#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <set>

#include "configuration/section_writer.h"
#include "fake_cluster.h"

namespace poplarfront::configuration {
namespace {

using testing::fake_cluster;
using testing::mechanisms;
using testing::milliseconds;
using testing::seconds;
using condition = fake_cluster::condition;

std::uint64_t from_environment(const char* name, std::uint64_t fallback) {
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// A codec that loses the nonces, so that a writer cannot recognise its own acceptance.
struct forgetful_codec : wire::configuration_store_codec {
    [[nodiscard]] std::optional<configuration::head> head(std::string_view bytes) const {
        auto decoded = wire::configuration_store_codec::head(bytes);
        if (decoded) {
            decoded->nonces.clear();
        }
        return decoded;
    }
};

/// One randomised run: writers, some racing, while the store and the network have faults.
class simulation {
public:
    simulation(std::uint64_t seed, const mechanisms& enabled)
        : cluster_({.instances = 12 + seed % 13,
                    .data_centres = 3 + seed % 2,
                    .seed = seed,
                    .outages_on_acceptance = 0.2,
                    .enabled = enabled}) {}

    std::vector<std::string> run() {
        auto& time = cluster_.time;
        cluster_.store.lost_requests = 0.03;
        cluster_.store.lost_replies = 0.05;
        constexpr int rounds = 8;
        for (int round = 0; round < rounds; ++round) {
            start_writers();
            time.run_until(time.now() + time.between(milliseconds{50}, milliseconds{2'500}));
            inject_fault();
            time.run_until(time.now() + time.between(milliseconds{500}, milliseconds{2'500}));
        }
        heal();
        time.run_until(time.now() + seconds{15});
        check_history();
        check_results();
        check_time_to_force();
        return cluster_.violations;
    }

private:
    struct attempt {
        section_write request;
        write_result result;
        bool ended = false;
    };

    bool chance(double probability) { return cluster_.time.chance(probability); }
    std::uint64_t below(std::uint64_t bound) {
        return kernel::uniform_below(cluster_.time.random, bound);
    }

    std::string random_text(const std::string& section) {
        if (section == "policy") {
            return "[canary]\nwidth = " + std::to_string(below(1'000)) + "\n";
        }
        if (section == "shares") {
            return "[searcher m" + std::to_string(below(5)) +
                   "]\nweight = " + std::to_string(1 + below(1'000)) + "\n";
        }
        // A text whose delta is larger than a head may keep forces whole sections to be sent.
        const auto count = chance(0.04) ? 14'000 : 1 + below(20);
        std::string text = "[instances]\n";
        for (std::uint64_t n = 0; n < count; ++n) {
            text +=
                "gone-" + std::to_string(below(1'000'000'000) + n * 1'000'000'000) + " = leaving\n";
        }
        return text;
    }

    void start_writers() {
        static const std::vector<std::string> sections{"policy", "shares", "leaving"};
        const auto& section = sections[below(sections.size())];
        const auto racing = chance(0.4) ? 2 : 1;
        const auto current = cluster_.history.empty()
                                 ? model::revision{}
                                 : cluster_.history.back().accepted.section(section).revision;
        for (int n = 0; n < racing; ++n) {
            start_writer(section, current);
        }
        if (chance(0.3)) {
            start_writer(sections[below(sections.size())], std::nullopt);
        }
    }

    void start_writer(const std::string& section, std::optional<model::revision> expected) {
        attempts_.push_back(std::make_unique<attempt>());
        auto& it = *attempts_.back();
        it.request = {section, random_text(section), expected,
                      "n" + std::to_string(attempts_.size()), cluster_.time.now() + seconds{6}};
        cluster_.time.spawn([this, &it] {
            if (cluster_.settings.enabled.nonces) {
                write(it, wire::configuration_store_codec{});
            } else {
                write(it, forgetful_codec{});
            }
        });
    }

    template <class Codec>
    void write(attempt& it, Codec codec) {
        section_writer writer{cluster_.store, codec, cluster_.time, cluster_.deployment};
        it.result = writer.write(it.request);
        it.ended = true;
        if (it.result.status == write_status::accepted && it.result.reason.empty()) {
            cluster_.announce(it.result.accepted, {{it.request.section, it.result.text}});
        }
    }

    void inject_fault() {
        switch (below(6)) {
            case 0:
                if (!cluster_.store.down) {
                    cluster_.store_outage(cluster_.time.between(seconds{1}, seconds{6}));
                }
                break;
            case 1:
                kill_relays();
                break;
            case 2:
                disturb_relays(condition::frozen);
                break;
            case 3:
                disturb_relays(condition::cut);
                break;
            case 4:
                cut_data_centre();
                break;
            default:
                break;
        }
    }

    std::vector<fake_cluster::node*> relays_of(const model::data_centre_id& data_centre) {
        std::vector<fake_cluster::node*> relays;
        for (auto& it : cluster_.nodes) {
            if (it->state == condition::running && it->logic.is_relay() &&
                it->data_centre == data_centre) {
                relays.push_back(it.get());
            }
        }
        return relays;
    }

    model::data_centre_id random_data_centre() {
        return cluster_.nodes[below(cluster_.nodes.size())]->data_centre;
    }

    /// Kills all relays of one data centre; the platform notices after 2 s and replaces them.
    void kill_relays() {
        for (auto* it : relays_of(random_data_centre())) {
            cluster_.change_state(*it, condition::dead);
            cluster_.time.after(seconds{2}, [this, it] { cluster_.restart(*it); });
        }
    }

    /// Disturbs all relays of one data centre for a while; the live list does not show it.
    void disturb_relays(condition state) {
        for (auto* it : relays_of(random_data_centre())) {
            disturb(*it, state);
        }
    }

    void cut_data_centre() {
        const auto chosen = random_data_centre();
        for (auto& it : cluster_.nodes) {
            if (it->state == condition::running && it->data_centre == chosen) {
                disturb(*it, condition::cut);
            }
        }
    }

    void disturb(fake_cluster::node& it, condition state) {
        cluster_.change_state(it, state);
        cluster_.time.after(cluster_.time.between(seconds{1}, seconds{7}), [this, &it, state] {
            if (it.state == state) {
                cluster_.change_state(it, condition::running);
            }
        });
    }

    void heal() {
        cluster_.store.lost_requests = 0;
        cluster_.store.lost_replies = 0;
    }

    /// Each head must be the one before with one section changed.
    void check_history() {
        const auto& history = cluster_.history;
        for (std::size_t n = 0; n < history.size(); ++n) {
            const auto& next = history[n].accepted;
            const auto before = n == 0 ? head{} : history[n - 1].accepted;
            if (next.document_revision != before.document_revision.next()) {
                cluster_.complain("an accepted revision was overwritten: " +
                                  std::to_string(next.document_revision.value));
            }
            for (const auto& [name, section] : before.sections) {
                const bool changed = next.section(name) != section;
                if (changed && next.section(name).revision != next.document_revision) {
                    cluster_.complain("section " + name + " lost an accepted change");
                }
            }
        }
    }

    void check_results() {
        std::set<std::pair<std::string, model::revision>> replaced;
        for (const auto& it : attempts_) {
            const auto entry = std::find_if(
                cluster_.history.begin(), cluster_.history.end(), [&](const auto& past) {
                    const auto section = past.accepted.section(it->request.section);
                    return section.nonce == it->request.nonce;
                });
            const bool in_store = entry != cluster_.history.end();
            const auto status = it->result.status;
            const bool unchanged = it->result.reason == "unchanged";
            if (!it->ended) {
                cluster_.complain("a writer did not end");
            }
            if (status == write_status::accepted && !unchanged && !in_store) {
                cluster_.complain("an accepted write is not in the store");
            }
            if ((status == write_status::refused || status == write_status::conflict) && in_store) {
                cluster_.complain("a write reported as refused or in conflict was accepted");
            }
            const bool wins = status == write_status::accepted && !unchanged;
            if (wins && it->request.expected &&
                !replaced.emplace(it->request.section, *it->request.expected).second) {
                cluster_.complain("two racing writers of section " + it->request.section + " won");
            }
        }
    }

    /// When a revision could first be learned: from the store, or from an announcement.
    kernel::time_point visible(const fake_cluster::acceptance& entry) const {
        auto from_store = entry.at;
        for (const auto& [begin, end] : cluster_.outages) {
            if (begin <= from_store + milliseconds{500} && end > from_store) {
                from_store = end;
            }
        }
        return entry.announced ? std::min(from_store, *entry.announced) : from_store;
    }

    void check_time_to_force() {
        for (const auto& it : cluster_.nodes) {
            for (const auto& entry : cluster_.history) {
                check_in_force(*it, entry);
            }
        }
    }

    void check_in_force(const fake_cluster::node& it, const fake_cluster::acceptance& entry) {
        constexpr seconds limit{5};
        auto from = std::max(visible(entry), it.started);
        for (const auto& [begin, end] : it.away) {
            if (begin <= from + limit && from < end) {
                from = end;
            }
        }
        if (from == kernel::time_point::max()) {
            return;
        }
        const auto reached = it.applied_at.lower_bound(entry.accepted.document_revision.value);
        if (reached == it.applied_at.end() || reached->second > from + limit) {
            cluster_.complain(it.id.text() + " did not have revision " +
                              std::to_string(entry.accepted.document_revision.value) +
                              " within 5 s");
        }
    }

    fake_cluster cluster_;
    std::vector<std::unique_ptr<attempt>> attempts_;
};

std::vector<std::string> violations(std::uint64_t seed, const mechanisms& enabled) {
    return simulation{seed, enabled}.run();
}

/// Whether some run reports a violation that contains `expected`.
bool detects(const mechanisms& enabled, std::string_view expected) {
    constexpr std::uint64_t tries = 40;
    for (std::uint64_t seed = 1; seed <= tries; ++seed) {
        for (const auto& violation : violations(seed, enabled)) {
            if (violation.find(expected) != std::string::npos) {
                return true;
            }
        }
    }
    return false;
}

TEST_CASE("no accepted change is lost, reverted or late while the store and peers fail") {
    const auto first = from_environment("POPLARFRONT_SEED", 1);
    const auto runs = from_environment("POPLARFRONT_RUNS", 40);
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const auto found = violations(seed, {});
        INFO("POPLARFRONT_SEED=" << seed << " POPLARFRONT_RUNS=1");
        for (const auto& violation : found) {
            UNSCOPED_INFO(violation);
        }
        REQUIRE(found.empty());
    }
}

TEST_CASE("the simulation notices when a mechanism is switched off") {
    CHECK(detects({.announcements = false}, "within 5 s"));
    CHECK(detects({.gossip = false}, "within 5 s"));
    CHECK(detects({.rising_revisions = false}, "went back"));
    CHECK(detects({.compare_and_swap = false}, "overwritten"));
    CHECK(detects({.compare_and_swap = false}, "racing writers"));
    CHECK(detects({.nonces = false}, "refused or in conflict"));
}

}  // namespace
}  // namespace poplarfront::configuration
