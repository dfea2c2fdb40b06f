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
using instance_state = fake_cluster::instance_state;

std::uint64_t from_environment(const char* name, std::uint64_t fallback) {
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// A codec that drops the nonces, so that a writer cannot find out whether its write was accepted.
struct nonce_dropping_codec : wire::configuration_store_codec {
    [[nodiscard]] std::optional<configuration::head> head(std::string_view bytes) const {
        auto decoded = wire::configuration_store_codec::head(bytes);
        if (decoded) {
            decoded->nonces.clear();
        }
        return decoded;
    }
};

/// Runs concurrent writers with random faults of the store, the network and the instances.
class simulation {
public:
    simulation(std::uint64_t seed, const mechanisms& enabled)
        : cluster_({.instances = 12 + seed % 13,
                    .data_centres = 3 + seed % 2,
                    .seed = seed,
                    .outage_probability = 0.2,
                    .enabled = enabled}) {}

    std::vector<std::string> run() {
        auto& time = cluster_.time;
        cluster_.store.request_loss_probability = 0.03;
        cluster_.store.reply_loss_probability = 0.05;
        constexpr int rounds = 8;
        for (int round = 0; round < rounds; ++round) {
            start_writers();
            time.run_until(time.now() +
                           time.random_duration(milliseconds{50}, milliseconds{2'500}));
            inject_fault();
            time.run_until(time.now() +
                           time.random_duration(milliseconds{500}, milliseconds{2'500}));
        }
        end_store_faults();
        time.run_until(time.now() + seconds{15});
        check_history();
        check_results();
        check_propagation_delays();
        return cluster_.violations;
    }

private:
    struct attempt {
        section_write request;
        write_result result;
        bool ended = false;
    };

    bool chance(double probability) { return cluster_.time.chance(probability); }
    std::uint64_t random_below(std::uint64_t bound) {
        return kernel::uniform_below(cluster_.time.random, bound);
    }

    std::string random_text(const std::string& section) {
        if (section == "policy") {
            return "[canary]\nwidth = " + std::to_string(random_below(1'000)) + "\n";
        }
        if (section == "shares") {
            return "[searcher m" + std::to_string(random_below(5)) +
                   "]\nweight = " + std::to_string(1 + random_below(1'000)) + "\n";
        }
        // A text whose delta exceeds the limit of a head forces whole sections to be sent.
        const auto count = chance(0.04) ? 14'000 : 1 + random_below(20);
        std::string text = "[instances]\n";
        for (std::uint64_t n = 0; n < count; ++n) {
            text += "gone-" + std::to_string(random_below(1'000'000'000) + n * 1'000'000'000) +
                    " = leaving\n";
        }
        return text;
    }

    void start_writers() {
        static const std::vector<std::string> sections{"policy", "shares", "leaving"};
        const auto& section = sections[random_below(sections.size())];
        const auto writers = chance(0.4) ? 2 : 1;
        const auto current = cluster_.history.empty()
                                 ? model::revision{}
                                 : cluster_.history.back().accepted_head.section(section).revision;
        for (int n = 0; n < writers; ++n) {
            start_writer(section, current);
        }
        if (chance(0.3)) {
            start_writer(sections[random_below(sections.size())], std::nullopt);
        }
    }

    void start_writer(const std::string& section, std::optional<model::revision> expected) {
        attempts_.push_back(std::make_unique<attempt>());
        auto& attempt = *attempts_.back();
        attempt.request = {section, random_text(section), expected,
                           "n" + std::to_string(attempts_.size()),
                           cluster_.time.now() + seconds{6}};
        cluster_.time.spawn([this, &attempt] {
            if (cluster_.settings.enabled.nonces) {
                write(attempt, wire::configuration_store_codec{});
            } else {
                write(attempt, nonce_dropping_codec{});
            }
        });
    }

    template <class Codec>
    void write(attempt& attempt, Codec codec) {
        section_writer writer{cluster_.store, codec, cluster_.time, cluster_.deployment};
        attempt.result = writer.write(attempt.request);
        attempt.ended = true;
        if (attempt.result.status == write_status::accepted && attempt.result.reason.empty()) {
            cluster_.announce(attempt.result.accepted_head,
                              {{attempt.request.section, attempt.result.text}});
        }
    }

    void inject_fault() {
        switch (random_below(6)) {
            case 0:
                if (!cluster_.store.down) {
                    cluster_.start_store_outage(
                        cluster_.time.random_duration(seconds{1}, seconds{6}));
                }
                break;
            case 1:
                crash_relays();
                break;
            case 2:
                make_relays_unavailable(instance_state::paused);
                break;
            case 3:
                make_relays_unavailable(instance_state::isolated);
                break;
            case 4:
                isolate_data_centre();
                break;
            default:
                break;
        }
    }

    std::vector<fake_cluster::simulated_instance*> relays_of(
        const model::data_centre_id& data_centre) {
        std::vector<fake_cluster::simulated_instance*> relays;
        for (auto& instance : cluster_.instances) {
            if (instance->state == instance_state::running &&
                instance->instance_distributor.is_relay() && instance->data_centre == data_centre) {
                relays.push_back(instance.get());
            }
        }
        return relays;
    }

    model::data_centre_id random_data_centre() {
        return cluster_.instances[random_below(cluster_.instances.size())]->data_centre;
    }

    /// Crashes all relays of one data centre; the platform replaces them after 2 s.
    void crash_relays() {
        for (auto* instance : relays_of(random_data_centre())) {
            cluster_.change_state(*instance, instance_state::crashed);
            cluster_.time.after(seconds{2}, [this, instance] { cluster_.restart(*instance); });
        }
    }

    /// Makes all relays of one data centre unavailable for 1 to 7 s without removing them from the
    /// live instances.
    void make_relays_unavailable(instance_state state) {
        for (auto* instance : relays_of(random_data_centre())) {
            make_unavailable(*instance, state);
        }
    }

    void isolate_data_centre() {
        const auto chosen = random_data_centre();
        for (auto& instance : cluster_.instances) {
            if (instance->state == instance_state::running && instance->data_centre == chosen) {
                make_unavailable(*instance, instance_state::isolated);
            }
        }
    }

    void make_unavailable(fake_cluster::simulated_instance& instance, instance_state state) {
        cluster_.change_state(instance, state);
        cluster_.time.after(cluster_.time.random_duration(seconds{1}, seconds{7}),
                            [this, &instance, state] {
                                if (instance.state == state) {
                                    cluster_.change_state(instance, instance_state::running);
                                }
                            });
    }

    void end_store_faults() {
        cluster_.store.request_loss_probability = 0;
        cluster_.store.reply_loss_probability = 0;
    }

    /// Each head must have the next revision, and so must each section that it changes.
    void check_history() {
        const auto& history = cluster_.history;
        for (std::size_t n = 0; n < history.size(); ++n) {
            const auto& next = history[n].accepted_head;
            const auto before = n == 0 ? head{} : history[n - 1].accepted_head;
            if (next.document_revision != before.document_revision.next()) {
                cluster_.report_violation("an accepted revision was overwritten: " +
                                          std::to_string(next.document_revision.value));
            }
            for (const auto& [name, section] : before.sections) {
                const bool changed = next.section(name) != section;
                if (changed && next.section(name).revision != next.document_revision) {
                    cluster_.report_violation("section " + name + " lost an accepted change");
                }
            }
        }
    }

    void check_results() {
        std::set<std::pair<std::string, model::revision>> replaced_revisions;
        for (const auto& attempt : attempts_) {
            const auto entry = std::find_if(
                cluster_.history.begin(), cluster_.history.end(), [&](const auto& past) {
                    const auto section = past.accepted_head.section(attempt->request.section);
                    return section.nonce == attempt->request.nonce;
                });
            const bool in_store = entry != cluster_.history.end();
            const auto status = attempt->result.status;
            const bool unchanged = attempt->result.reason == "unchanged";
            if (!attempt->ended) {
                cluster_.report_violation("a writer did not end");
            }
            if (status == write_status::accepted && !unchanged && !in_store) {
                cluster_.report_violation("an accepted write is not in the store");
            }
            if ((status == write_status::refused || status == write_status::conflict) && in_store) {
                cluster_.report_violation(
                    "a write reported as refused or in conflict was accepted");
            }
            const bool is_accepted = status == write_status::accepted && !unchanged;
            if (is_accepted && attempt->request.expected &&
                !replaced_revisions.emplace(attempt->request.section, *attempt->request.expected)
                     .second) {
                cluster_.report_violation("two writes based on the same revision of section " +
                                          attempt->request.section + " were accepted");
            }
        }
    }

    /// Returns the earliest time at which an instance could receive the revision from the store or
    /// an announcement.
    kernel::time_point first_visible(const fake_cluster::history_entry& entry) const {
        // An outage that begins this soon after the write may keep the relays from reading the
        // head.
        constexpr milliseconds notification_margin{500};
        auto from_store = entry.accepted_at;
        for (const auto& [begin, end] : cluster_.outages) {
            if (begin <= from_store + notification_margin && end > from_store) {
                from_store = end;
            }
        }
        return entry.announced_at ? std::min(from_store, *entry.announced_at) : from_store;
    }

    void check_propagation_delays() {
        for (const auto& instance : cluster_.instances) {
            for (const auto& entry : cluster_.history) {
                check_propagation_delay(*instance, entry);
            }
        }
    }

    void check_propagation_delay(const fake_cluster::simulated_instance& instance,
                                 const fake_cluster::history_entry& entry) {
        constexpr seconds limit{5};
        auto limit_start = std::max(first_visible(entry), instance.started);
        // The limit starts again after each unavailable period that overlaps it.
        for (const auto& [begin, end] : instance.unavailable_periods) {
            if (begin <= limit_start + limit && limit_start < end) {
                limit_start = end;
            }
        }
        if (limit_start == kernel::time_point::max()) {
            return;
        }
        const auto reached =
            instance.applied_at.lower_bound(entry.accepted_head.document_revision.value);
        if (reached == instance.applied_at.end() || reached->second > limit_start + limit) {
            cluster_.report_violation(instance.id.text() + " did not have revision " +
                                      std::to_string(entry.accepted_head.document_revision.value) +
                                      " within 5 s");
        }
    }

    fake_cluster cluster_;
    std::vector<std::unique_ptr<attempt>> attempts_;
};

std::vector<std::string> violations(std::uint64_t seed, const mechanisms& enabled) {
    return simulation{seed, enabled}.run();
}

/// Whether one of 40 runs reports a violation that contains `expected`.
bool finds_violation(const mechanisms& enabled, std::string_view expected) {
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

TEST_CASE("no accepted change is lost, reverted or late while the store and instances fail") {
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

TEST_CASE("the simulation reports violations when a mechanism is disabled") {
    CHECK(finds_violation({.announcements = false}, "within 5 s"));
    CHECK(finds_violation({.gossip = false}, "within 5 s"));
    CHECK(finds_violation({.monotonic_revisions = false}, "went back"));
    CHECK(finds_violation({.compare_and_swap = false}, "overwritten"));
    CHECK(finds_violation({.compare_and_swap = false}, "based on the same revision"));
    CHECK(finds_violation({.nonces = false}, "refused or in conflict"));
}

}  // namespace
}  // namespace poplarfront::configuration
