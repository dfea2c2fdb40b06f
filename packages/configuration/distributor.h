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

/// The network, store and snapshot operations that the distributor needs. No call blocks; messages
/// may be lost.
template <class T>
concept distributor_transport = requires(T& transport, const model::instance_id& peer,
                                         const gossip_message& message, const section_fetch& fetch,
                                         const section_content& content, bool watching,
                                         const std::string& name, const section_head& section,
                                         std::shared_ptr<const configuration_snapshot> snapshot) {
    { transport.send(peer, message) } -> std::same_as<void>;
    { transport.send(peer, fetch) } -> std::same_as<void>;
    { transport.send(peer, content) } -> std::same_as<void>;
    // Starts or stops watching the head in the store; heads are passed to on_store_head.
    { transport.watch_head(watching) } -> std::same_as<void>;
    // Reads a section from the store; its text is passed to on_content.
    { transport.read_section(name, section) } -> std::same_as<void>;
    // Publishes the snapshot of a newer revision that is now active.
    { transport.publish(snapshot) } -> std::same_as<void>;
};

/// Instances per data centre that watch the head in the store.
inline constexpr std::size_t relays_per_data_centre = 3;
/// Random peers to which an instance pushes an update that it has applied.
inline constexpr std::size_t push_fanout = 4;
/// Interval between pulls from random peers.
inline constexpr std::chrono::seconds pull_interval{1};
/// Time after which an unanswered pull is repeated with a random peer. With only one pull per
/// second, an instance with half of its peers unreachable can miss a revision for 5 s.
inline constexpr std::chrono::milliseconds reply_timeout{250};
/// Time after which an update that waits for whole sections is dropped and an update is pulled from
/// a random peer.
inline constexpr std::chrono::milliseconds fetch_timeout{500};

/// Counts of this instance since its start.
struct distributor_counters {
    std::uint64_t pulls = 0;
    std::uint64_t pushes = 0;
    std::uint64_t replies = 0;
    /// Whole sections requested from peers or the store.
    std::uint64_t fetches = 0;
    /// Heads, gossip messages and sections refused.
    std::uint64_t refused = 0;
    friend auto operator<=>(const distributor_counters&, const distributor_counters&) = default;
};

/// Distributes the accepted configuration between instances. A few relays of each data centre watch
/// the head in the store; all instances push what they applied to a few peers and pull from one
/// peer per interval. Performs no input or output itself but calls the transport.
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
          next_pull_(clock.now() + random_phase()) {}

    /// Updates the peers and decides whether this instance is a relay. At the start, `view` holds
    /// the peers named in the settings.
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
        const auto relay_count = std::min(relays_per_data_centre, candidates.size());
        std::partial_sort(candidates.begin(),
                          candidates.begin() + static_cast<std::ptrdiff_t>(relay_count),
                          candidates.end(), std::greater<>{});
        candidates.resize(relay_count);
        const bool relay = std::any_of(candidates.begin(), candidates.end(),
                                       [&](const auto& it) { return it.second == self_; });
        if (relay != is_relay_) {
            is_relay_ = relay;
            transport_.watch_head(relay);
        }
    }

    /// Handles a head that the watch returned.
    void on_store_head(const head& accepted) { on_announcement(accepted, {}); }

    /// Handles an announcement of the control client.
    void on_announcement(const head& accepted, const section_texts& texts) {
        apply_update(accepted, texts, source{});
        const auto newest_known =
            unapplied_head_ ? unapplied_head_->document_revision : active_.revision();
        if (accepted.document_revision > std::max(newest_known, active_.revision())) {
            unapplied_head_ = accepted;
        }
    }

    void on_message(const model::instance_id& from, const gossip_message& message) {
        if (message.deployment != active_.active_head().deployment) {
            ++counters_.refused;
            return;
        }
        if (message.kind == gossip_kind::reply) {
            reply_deadline_.reset();
        }
        if (message.update) {
            apply_update(*message.update, {}, source{from, message.kind == gossip_kind::reply});
        }
        const bool peer_is_behind = message.sender_revision < active_.revision();
        if (message.kind == gossip_kind::pull || peer_is_behind) {
            ++counters_.replies;
            transport_.send(
                from,
                gossip_message{
                    active_.active_head().deployment, active_.revision(), gossip_kind::reply,
                    peer_is_behind
                        ? std::optional{active_.active_head().update_since(message.sender_revision)}
                        : std::nullopt});
        }
    }

    /// Replies with the active section if it is at least as new as requested. Otherwise sends no
    /// reply; the requester times out and pulls from a random peer.
    void on_message(const model::instance_id& from, const section_fetch& fetch) {
        const auto revision = active_.active_head().section(fetch.section).revision;
        const auto text = active_.section_text(fetch.section);
        if (text && revision >= fetch.revision) {
            transport_.send(from, section_content{active_.active_head().deployment, fetch.section,
                                                  revision, *text});
        }
    }

    void on_message(const model::instance_id& from, const section_content& content) {
        if (pending_ && content.revision > pending_->update.section(content.section).revision) {
            pending_.reset();
            pull_from(from);
            return;
        }
        on_content(content);
    }

    /// Handles a section that was read from the store or sent by a peer.
    void on_content(const section_content& content) {
        if (!pending_ || content.deployment != active_.active_head().deployment) {
            return;
        }
        const auto target = pending_->update.section(content.section);
        if (content.revision != target.revision || digest_of(content.text) != target.digest) {
            ++counters_.refused;
            return;
        }
        received_sections_.insert_or_assign(content.section, content);
        const auto pending = *pending_;
        pending_.reset();
        apply_update(pending.update, {}, pending.from, pending.deadline);
    }

    /// Must be called when the time next_timer() is reached.
    void on_timer() {
        const auto now = clock_.now();
        if (reply_deadline_ && now >= *reply_deadline_) {
            reply_deadline_.reset();
            pull_from_random_peer();
        }
        if (pending_ && now >= pending_->deadline) {
            pending_.reset();
            pull_from_random_peer();
        }
        if (now >= next_pull_) {
            next_pull_ = now + pull_interval;
            retry_unapplied_head();
            pull_from_random_peer();
        }
    }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = next_pull_;
        next = pending_ ? std::min(next, pending_->deadline) : next;
        return reply_deadline_ ? std::min(next, *reply_deadline_) : next;
    }

    [[nodiscard]] bool is_relay() const { return is_relay_; }
    [[nodiscard]] distributor_counters counters() const { return counters_; }

private:
    /// Where a head came from: a peer, or else the store or an announcement.
    struct source {
        std::optional<model::instance_id> peer;
        /// Whether the peer sent the head as a reply, so that its deltas start at the revision that
        /// this instance had sent. Not used without a peer.
        bool is_reply = true;
    };

    /// An update that waits for whole sections.
    struct pending_update {
        head update;
        source from;
        kernel::time_point deadline;
    };

    void apply_update(const head& update, section_texts texts, const source& from,
                      std::optional<kernel::time_point> fetch_deadline = std::nullopt) {
        for (const auto& [name, content] : received_sections_) {
            texts.emplace(name, content.text);
        }
        const auto before = active_.revision();
        const auto outcome = active_.apply(update, texts);
        switch (outcome.status) {
            case apply_status::applied:
                received_sections_.clear();
                pending_.reset();
                transport_.publish(active_.snapshot());
                push_update(before);
                return;
            case apply_status::needs_sections:
                request_sections(update, outcome.missing, from, fetch_deadline);
                return;
            case apply_status::refused:
                ++counters_.refused;
                return;
            case apply_status::stale:
                return;
        }
    }

    /// Requests the missing sections, for one update at a time. The deltas in a pushed update start
    /// at the sender's previous revision. If they do not fit, an update from the active revision is
    /// pulled before whole sections are requested. `fetch_deadline` is set if the sections were
    /// already requested.
    void request_sections(const head& update, const std::vector<std::string>& missing,
                          const source& from, std::optional<kernel::time_point> fetch_deadline) {
        if (pending_) {
            return;
        }
        if (from.peer && !from.is_reply) {
            pull_from(*from.peer);
            return;
        }
        pending_ =
            pending_update{update, from, fetch_deadline.value_or(clock_.now() + fetch_timeout)};
        if (fetch_deadline) {
            return;
        }
        for (const auto& name : missing) {
            ++counters_.fetches;
            const auto section = update.section(name);
            if (from.peer) {
                transport_.send(*from.peer, section_fetch{name, section.revision});
            } else {
                transport_.read_section(name, section);
            }
        }
    }

    void push_update(model::revision before) {
        const gossip_message message{active_.active_head().deployment, active_.revision(),
                                     gossip_kind::push, active_.active_head().update_since(before)};
        const auto count = std::min(push_fanout, peers_.size());
        for (std::size_t n = 0; n < count; ++n) {
            // A partial shuffle picks different peers without a copy of the list.
            std::swap(peers_[n], peers_[n + kernel::uniform_below(random_, peers_.size() - n)]);
            ++counters_.pushes;
            transport_.send(peers_[n], message);
        }
    }

    /// Retries a head that could not be applied, because the watch returns each head only once.
    void retry_unapplied_head() {
        if (!unapplied_head_) {
            return;
        }
        if (unapplied_head_->document_revision <= active_.revision()) {
            unapplied_head_.reset();
            return;
        }
        const auto head = *unapplied_head_;
        apply_update(head, {}, source{});
    }

    void pull_from_random_peer() {
        if (!peers_.empty()) {
            pull_from(peers_[kernel::uniform_below(random_, peers_.size())]);
        }
    }

    /// Sends the active revision to a peer, which replies with newer changes. Only one pull is open
    /// at a time, so that a burst of pushes does not cause several replies with the same deltas.
    void pull_from(const model::instance_id& peer) {
        if (reply_deadline_) {
            return;
        }
        reply_deadline_ = clock_.now() + reply_timeout;
        ++counters_.pulls;
        transport_.send(peer, gossip_message{active_.active_head().deployment, active_.revision(),
                                             gossip_kind::pull, std::nullopt});
    }

    /// Rendezvous hashing: a change of the live instances replaces few relays.
    [[nodiscard]] std::uint64_t relay_rank(const model::instance_id& id) const {
        return model::stable_hash(id.text(), model::stable_hash(data_centre_.text()));
    }

    /// Distributes the pulls of instances that start together over the interval.
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
    kernel::time_point next_pull_;
    /// The deadline of the open pull; cleared by any reply.
    std::optional<kernel::time_point> reply_deadline_;
    std::optional<pending_update> pending_;
    /// The newest head from the store or an announcement, while it is not active yet.
    std::optional<head> unapplied_head_;
    /// Whole sections received since an update was last applied.
    std::map<std::string, section_content> received_sections_;
    distributor_counters counters_;
};

}  // namespace poplarfront::configuration
