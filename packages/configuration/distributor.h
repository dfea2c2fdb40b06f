#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration/active_configuration.h"
#include "configuration/configuration_messages.h"
#include "kernel/concepts.h"
#include "model/instance_view.h"

namespace poplarfront::configuration {

/// What spread asks of the instance it runs on. No call blocks; messages may be lost.
template <class T>
concept distributor_transport = requires(T& transport, const model::instance_id& peer,
                                         const gossip_message& message, const section_fetch& fetch,
                                         const section_content& content, bool watching,
                                         const std::string& name, const section_head& section,
                                         std::shared_ptr<const configuration_snapshot> snapshot) {
    { transport.send(peer, message) } -> std::same_as<void>;
    { transport.send(peer, fetch) } -> std::same_as<void>;
    { transport.send(peer, content) } -> std::same_as<void>;
    // Begins or ends the watch of the head, which is passed on to on_store_head.
    { transport.watch_head(watching) } -> std::same_as<void>;
    // Reads a section's blobs, which are passed on to on_content.
    { transport.read_section(name, section) } -> std::same_as<void>;
    // A newer snapshot is in force.
    { transport.publish(snapshot) } -> std::same_as<void>;
};

/// Instances per data centre that watch the head in the store.
inline constexpr std::size_t relays_per_data_centre = 3;
/// Peers that are told of a new revision at once.
inline constexpr std::size_t push_fanout = 4;
inline constexpr std::chrono::seconds pull_interval{1};
/// How long the answer to a digest is waited for before another peer is asked. With one question a
/// second an instance missed a revision for 5 s while half of its peers were cut off.
inline constexpr std::chrono::milliseconds reply_timeout{250};
/// How long whole sections are waited for before another peer is asked.
inline constexpr std::chrono::milliseconds fetch_timeout{500};

/// Messages of this instance since its start.
struct distributor_counters {
    std::uint64_t pulls = 0;
    std::uint64_t pushes = 0;
    std::uint64_t replies = 0;
    std::uint64_t fetches = 0;
    std::uint64_t refused = 0;
    friend auto operator<=>(const distributor_counters&, const distributor_counters&) = default;
};

/// Decides how an instance learns the accepted configuration and passes it on.
///
/// Thread safety: used on the control thread. All references must outlive this object.
template <kernel::clock_source Clock, kernel::random_source Random, distributor_transport Transport>
class distributor {
public:
    distributor(const Clock& clock, Random& random, Transport& transport,
                active_configuration& active, model::instance_id self,
                model::data_centre_id data_centre)
        : clock_(clock),
          random_(random),
          transport_(transport),
          active_(active),
          self_(std::move(self)),
          data_centre_(std::move(data_centre)),
          next_digest_(clock.now() + random_phase()) {}

    /// Takes the live list, at the start that of the peers named in the settings.
    void on_members(const model::instance_view& view) {
        peers_.clear();
        std::vector<std::pair<std::uint64_t, model::instance_id>> candidates;
        candidates.emplace_back(relay_rank(self_), self_);
        for (const auto& id : view.working_instances()) {
            if (id == self_) {
                continue;
            }
            peers_.push_back(id);
            if (view.find(id)->data_centre == data_centre_) {
                candidates.emplace_back(relay_rank(id), id);
            }
        }
        const auto kept = std::min(relays_per_data_centre, candidates.size());
        std::partial_sort(candidates.begin(),
                          candidates.begin() + static_cast<std::ptrdiff_t>(kept), candidates.end(),
                          std::greater<>{});
        candidates.resize(kept);
        const bool relay = std::any_of(candidates.begin(), candidates.end(),
                                       [&](const auto& it) { return it.second == self_; });
        if (relay != is_relay_) {
            is_relay_ = relay;
            transport_.watch_head(relay);
        }
    }

    /// Takes the head that the watch returned.
    void on_store_head(const head& accepted) { on_announcement(accepted, {}); }

    /// Takes what an operators' client announces after an acceptance.
    void on_announcement(const head& accepted, const section_texts& texts) {
        absorb(accepted, texts, source{});
        const auto known = unreached_ ? unreached_->document_revision : active_.revision();
        if (accepted.document_revision > std::max(known, active_.revision())) {
            unreached_ = accepted;
        }
    }

    void on_message(const model::instance_id& from, const gossip_message& message) {
        if (message.deployment != active_.current().deployment) {
            ++counts_.refused;
            return;
        }
        if (message.kind == gossip_kind::reply) {
            reply_limit_.reset();
        }
        if (message.update) {
            absorb(*message.update, {}, source{from, message.kind == gossip_kind::reply});
        }
        const bool peer_lags = message.sender_revision < active_.revision();
        if (message.kind == gossip_kind::pull || peer_lags) {
            ++counts_.replies;
            transport_.send(
                from,
                gossip_message{active_.current().deployment, active_.revision(), gossip_kind::reply,
                               peer_lags ? std::optional{active_.current().update_since(
                                               message.sender_revision)}
                                         : std::nullopt});
        }
    }

    /// Answers with the section in force, whatever its revision; a peer that wants a newer one
    /// gets no answer and asks another.
    void on_message(const model::instance_id& from, const section_fetch& fetch) {
        const auto revision = active_.current().section(fetch.section).revision;
        const auto text = active_.section_text(fetch.section);
        if (text && revision >= fetch.revision) {
            transport_.send(from, section_content{active_.current().deployment, fetch.section,
                                                  revision, *text});
        }
    }

    void on_message(const model::instance_id& from, const section_content& content) {
        if (pending_ && content.revision > pending_->update.section(content.section).revision) {
            pending_.reset();
            ask(from);
            return;
        }
        on_content(content);
    }

    /// Takes a section that was read from the store or from a peer.
    void on_content(const section_content& content) {
        if (!pending_ || content.deployment != active_.current().deployment) {
            return;
        }
        const auto wanted = pending_->update.section(content.section);
        if (content.revision != wanted.revision || digest_of(content.text) != wanted.digest) {
            ++counts_.refused;
            return;
        }
        fetched_.insert_or_assign(content.section, content);
        const auto pending = *pending_;
        pending_.reset();
        absorb(pending.update, {}, pending.from, pending.limit);
    }

    /// Must be called when the time of next_timer() has come.
    void on_timer() {
        const auto now = clock_.now();
        if (reply_limit_ && now >= *reply_limit_) {
            reply_limit_.reset();
            ask_random_peer();
        }
        if (pending_ && now >= pending_->limit) {
            pending_.reset();
            ask_random_peer();
        }
        if (now >= next_digest_) {
            next_digest_ = now + pull_interval;
            retry_unreached();
            ask_random_peer();
        }
    }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = next_digest_;
        next = pending_ ? std::min(next, pending_->limit) : next;
        return reply_limit_ ? std::min(next, *reply_limit_) : next;
    }

    [[nodiscard]] bool is_relay() const { return is_relay_; }
    [[nodiscard]] distributor_counters counters() const { return counts_; }

private:
    /// Where a head came from: a peer, or without one the store or an announcement.
    struct source {
        std::optional<model::instance_id> peer;
        /// Whether the update was made for the revision in force here.
        bool tailored = true;
    };

    /// A head that waits for whole sections.
    struct pending_update {
        head update;
        source from;
        kernel::time_point limit;
    };

    void absorb(const head& update, section_texts texts, const source& from,
                std::optional<kernel::time_point> fetching_until = std::nullopt) {
        for (const auto& [name, content] : fetched_) {
            texts.emplace(name, content.text);
        }
        const auto before = active_.revision();
        const auto outcome = active_.apply(update, texts);
        switch (outcome.status) {
            case apply_status::applied:
                fetched_.clear();
                pending_.reset();
                transport_.publish(active_.snapshot());
                push(before);
                return;
            case apply_status::needs_sections:
                fetch(update, outcome.missing, from, fetching_until);
                return;
            case apply_status::refused:
                ++counts_.refused;
                return;
            case apply_status::stale:
                return;
        }
    }

    /// Gets what is missing, one attempt at a time.
    void fetch(const head& update, const std::vector<std::string>& missing, const source& from,
               std::optional<kernel::time_point> fetching_until) {
        if (pending_) {
            return;
        }
        if (from.peer && !from.tailored) {
            ask(*from.peer);
            return;
        }
        pending_ =
            pending_update{update, from, fetching_until.value_or(clock_.now() + fetch_timeout)};
        if (fetching_until) {
            return;
        }
        for (const auto& name : missing) {
            ++counts_.fetches;
            const auto section = update.section(name);
            if (from.peer) {
                transport_.send(*from.peer, section_fetch{name, section.revision});
            } else {
                transport_.read_section(name, section);
            }
        }
    }

    void push(model::revision before) {
        const gossip_message message{active_.current().deployment, active_.revision(),
                                     gossip_kind::push, active_.current().update_since(before)};
        const auto count = std::min(push_fanout, peers_.size());
        for (std::size_t n = 0; n < count; ++n) {
            // A partial shuffle picks different peers without a copy of the list.
            std::swap(peers_[n], peers_[n + kernel::uniform_below(random_, peers_.size() - n)]);
            ++counts_.pushes;
            transport_.send(peers_[n], message);
        }
    }

    /// The store tells a head once, so one that was not reached is tried again from here.
    void retry_unreached() {
        if (!unreached_) {
            return;
        }
        if (unreached_->document_revision <= active_.revision()) {
            unreached_.reset();
            return;
        }
        const auto head = *unreached_;
        absorb(head, {}, source{});
    }

    void ask_random_peer() {
        if (!peers_.empty()) {
            ask(peers_[kernel::uniform_below(random_, peers_.size())]);
        }
    }

    /// Tells a peer the revision in force; it answers with what is newer. One question is open at a
    /// time, so that a burst of pushes is not answered with the same deltas several times.
    void ask(const model::instance_id& peer) {
        if (reply_limit_) {
            return;
        }
        reply_limit_ = clock_.now() + reply_timeout;
        ++counts_.pulls;
        transport_.send(peer, gossip_message{active_.current().deployment, active_.revision(),
                                             gossip_kind::pull, std::nullopt});
    }

    /// Rendezvous hashing: a change of the live list moves few relays.
    [[nodiscard]] std::uint64_t relay_rank(const model::instance_id& id) const {
        return model::stable_hash(id.text(), model::stable_hash(data_centre_.text()));
    }

    /// Spreads the digests of instances that start together.
    [[nodiscard]] kernel::duration random_phase() {
        const auto interval = std::chrono::duration_cast<kernel::duration>(pull_interval).count();
        return kernel::duration{static_cast<kernel::duration::rep>(
            kernel::uniform_below(random_, static_cast<std::uint64_t>(interval)))};
    }

    const Clock& clock_;
    Random& random_;
    Transport& transport_;
    active_configuration& active_;
    model::instance_id self_;
    model::data_centre_id data_centre_;
    std::vector<model::instance_id> peers_;
    bool is_relay_ = false;
    kernel::time_point next_digest_;
    /// Set while a digest is unanswered.
    std::optional<kernel::time_point> reply_limit_;
    std::optional<pending_update> pending_;
    /// The newest head of the store or of an announcement that is not in force yet.
    std::optional<head> unreached_;
    /// Whole sections that arrived for the head that is pending.
    std::map<std::string, section_content> fetched_;
    distributor_counters counts_;
};

}  // namespace poplarfront::configuration
