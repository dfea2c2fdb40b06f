#pragma once

#include <algorithm>
#include <bit>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "kernel/concepts.h"
#include "membership/dissemination_queue.h"
#include "membership/gossip_notices.h"
#include "membership/member_options.h"
#include "membership/member_rows.h"
#include "membership/peer_transport.h"
#include "membership/push_rate_limiter.h"

namespace poplarfront::membership {

/// One entry of the platform's list of instances. `row.incarnation_number` is 0 if the list has no
/// incarnation for the instance.
struct instance_list_entry {
    model::instance_info row;
    bool leaving = false;
    friend auto operator<=>(const instance_list_entry&, const instance_list_entry&) = default;
};

/// The table of all instances. Detects failures by gossip, and disseminates updates about
/// instances, draining backend servers and quarantined queries.
///
/// Thread safety: used on the control thread. Clock, random source and transport must outlive the
/// table. `on_timer` must be called at the time of `next_timer`.
template <kernel::clock_source Clock, kernel::random_source Random, peer_transport Transport>
class member_table {
public:
    /// `self` has the incarnation of this process, from first_incarnation().
    member_table(const Clock& clock, Random& random, Transport& transport,
                 model::instance_info self, member_options options = {})
        : clock_(clock),
          random_(random),
          transport_(transport),
          options_(options),
          self_(std::move(self)),
          notices_(options_),
          push_limiter_(options_.push_burst, options_.push_refill_interval, clock_.now()),
          urgent_push_limiter_(options_.urgent_push_burst, options_.urgent_push_refill_interval,
                               clock_.now()) {
        const auto period = static_cast<std::uint64_t>(options_.exchange_period.count());
        const auto phase = kernel::uniform_below(random_, period);
        next_exchange_ = clock_.now() + kernel::duration{static_cast<kernel::duration::rep>(phase)};
    }

    /// Announces this instance to some peers, whose replies contain the leaving and failed
    /// instances. Must be called after the first on_instance_list().
    void announce() {
        for (const auto& to :
             random_rows(rows_.not_failed(), options_.push_fanout, self_.instance)) {
            transport_.send_gossip(to, next_header(), build_message(to, {}));
        }
    }

    /// Applies the platform's list of instances, which may be outdated: adds unknown instances,
    /// marks leaving ones, and marks as failed those that are no longer listed and are not alive.
    void on_instance_list(const std::vector<instance_list_entry>& entries) {
        std::set<model::instance_id> listed;
        for (const auto& entry : entries) {
            listed.insert(entry.row.instance);
            if (entry.row.instance != self_.instance) {
                apply_platform_entry(entry);
            }
        }
        for (const auto& id : listed_) {
            const auto* known = rows_.find(id);
            if (!listed.contains(id) && known != nullptr && !is_alive(*known)) {
                // The row is kept for removed_retention, so that a late message does not make it
                // alive again.
                mark_failed(id);
                rows_.set_purge_time(id, clock_.now() + removed_retention);
            }
        }
        listed_ = std::move(listed);
    }

    /// Applies the instances of the `leaving` section of the active configuration.
    void on_leaving_section(std::set<model::instance_id> leaving) {
        configured_leaving_ = std::move(leaving);
        for (const auto& id : configured_leaving_) {
            if (id == self_.instance) {
                leave();
            } else {
                mark_leaving(id);
            }
        }
    }

    /// Marks this instance as leaving until its process ends, and pushes this to peers.
    void leave() {
        if (self_.status == model::instance_status::leaving) {
            return;
        }
        self_.status = model::instance_status::leaving;
        view_changed_ = true;
        updates_.push(self_.instance);
        push_now();
    }

    void on_gossip(const message_header& header, const gossip_message& message) {
        const auto* known = rows_.find(header.sender);
        const bool is_new_process =
            known == nullptr || process_start(known->info.incarnation_number) !=
                                    process_start(header.sender_incarnation);
        const bool is_current = record_sender(header);
        if (is_current) {
            apply_gossip(message);
        }
        const auto* from = rows_.find(header.sender);
        if (from == nullptr) {
            return;
        }
        const auto reply_header = next_header(header.message_id);
        if (is_current) {
            const auto reply_body = build_message(from->info, {message.table_size, is_new_process});
            transport_.send_gossip_reply(from->info, reply_header, reply_body);
        } else {
            // Tells the older process that it has been replaced.
            transport_.send_gossip_reply(from->info, reply_header,
                                         {size(), {self_, from->info}, {}, {}});
        }
    }

    void on_gossip_reply(const message_header& header, const gossip_message& message) {
        if (record_sender(header)) {
            apply_gossip(message);
        }
    }

    void on_probe_request(const message_header& header, const probe_request& request) {
        const auto* target = rows_.find(request.target);
        if (!record_sender(header) || target == nullptr) {
            return;
        }
        send_exchange(target->info, header);
    }

    void on_probe_reply(const message_header& header, const probe_reply& reply) {
        if (record_sender(header) && reply.reached) {
            record_contact(reply.target);
        }
    }

    /// Reports that `instance` sent a reply of another kind, which shows that it is running.
    void on_traffic(const model::instance_id& instance) { record_contact(instance); }

    /// Reports that this instance found a backend server draining. The notice is valid for
    /// `validity`.
    void report_draining(const model::server_id& server, kernel::duration validity) {
        add_draining({server, std::chrono::duration_cast<std::chrono::milliseconds>(validity)});
    }

    void report_quarantined(std::uint64_t fingerprint) { add_quarantined(fingerprint); }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = next_exchange_;
        for (const auto& probe : pending_probes_) {
            next = std::min(next, probe.deadline);
        }
        for (const auto& [id, at] : failure_deadlines_) {
            next = std::min(next, at);
        }
        return push_at_ ? std::min(next, *push_at_) : next;
    }

    void on_timer() {
        const auto now = clock_.now();
        if (now - next_timer() > pause_threshold) {
            restart_timeouts(now);
        }
        expire_probes(now);
        expire_failure_deadlines(now);
        if (push_at_ && *push_at_ <= now) {
            push_if_allowed(now);
        }
        if (next_exchange_ <= now) {
            next_exchange_ = now + options_.exchange_period;
            exchange(now);
        }
    }

    /// The view, if it changed since the last call. The caller publishes it.
    [[nodiscard]] std::optional<model::instance_view> take_changed_view() {
        if (!std::exchange(view_changed_, false)) {
            return std::nullopt;
        }
        model::instance_view view;
        view.instances.emplace(self_.instance, self_);
        for (const auto& [id, row] : rows_.all()) {
            view.instances.emplace(id, row.info);
        }
        return view;
    }

    /// The draining backend servers, sorted, if they changed since the last call.
    [[nodiscard]] std::optional<std::vector<model::server_id>> take_changed_draining() {
        return notices_.take_changed_draining();
    }

    /// The fingerprints of quarantined queries added since the last call.
    [[nodiscard]] std::vector<std::uint64_t> take_new_quarantined() {
        return notices_.take_new_quarantined();
    }

    [[nodiscard]] const model::instance_info& self() const { return self_; }
    /// Null if the instance is unknown or this one. Valid until the next non-const call.
    [[nodiscard]] const model::instance_info* find(const model::instance_id& id) const {
        const auto* row = rows_.find(id);
        return row == nullptr ? nullptr : &row->info;
    }
    /// Whether a later process with this instance's name is known. This process must then stop.
    [[nodiscard]] bool superseded() const { return superseded_; }
    [[nodiscard]] const member_counters& counters() const { return counters_; }

private:
    /// direct: this instance probes the peer; indirect: other instances are asked to probe it;
    /// requested: this instance probes the peer for another instance.
    enum class probe_kind { direct, indirect, requested };

    /// A probe without a reply so far. Direct and requested probes are gossip exchanges.
    struct pending_probe {
        model::instance_id peer;
        kernel::time_point deadline;
        probe_kind kind = probe_kind::direct;
        /// The header of the probe request, for a requested probe.
        message_header requester;
    };

    /// Known state of the receiver of a message.
    struct receiver_state {
        /// The size of its table; 0 if unknown.
        std::uint32_t table_size = 0;
        /// Whether its process started since the last contact, so that it does not know which
        /// instances are leaving or failed.
        bool is_new_process = false;
    };

    // A timer that is this late shows that the process was paused. Replies that are missing from
    // that time do not indicate failures.
    static constexpr kernel::duration pause_threshold = std::chrono::milliseconds{300};
    static constexpr kernel::duration removed_retention = std::chrono::minutes{10};

    static bool is_alive(const member_rows::row& row) {
        return row.info.status == model::instance_status::alive;
    }

    message_header next_header(std::uint64_t reply_to = 0) {
        return {self_.instance, self_.incarnation_number, ++last_message_id_, reply_to};
    }

    /// Records contact with the sender. Returns false if the message is from an older incarnation
    /// than the one known.
    bool record_sender(const message_header& header) {
        const auto* known = rows_.find(header.sender);
        if (known != nullptr && header.sender_incarnation < known->info.incarnation_number) {
            ++counters_.stale_messages;
            return false;
        }
        record_contact(header.sender);
        return true;
    }

    void record_contact(const model::instance_id& id) {
        for (const auto& probe : pending_probes_) {
            if (probe.peer == id && probe.kind == probe_kind::requested) {
                send_probe_result(probe, true);
            }
        }
        std::erase_if(pending_probes_, [&](const auto& probe) { return probe.peer == id; });
        const auto it = failure_deadlines_.find(id);
        if (it == failure_deadlines_.end()) {
            return;
        }
        const auto* known = rows_.find(id);
        if (known != nullptr && known->info.status == model::instance_status::leaving) {
            failure_deadlines_.erase(it);
        } else {
            // The instance stays suspect until its refutation arrives; messages to it contain the
            // suspicion.
            it->second = clock_.now() + options_.suspicion_timeout;
        }
    }

    void apply_gossip(const gossip_message& message) {
        for (const auto& member : message.members) {
            apply_update(member);
        }
        for (const auto& notice : message.draining) {
            add_draining(notice);
        }
        for (const auto fingerprint : message.quarantined) {
            add_quarantined(fingerprint);
        }
    }

    void apply_update(const model::instance_info& update) {
        if (update.instance == self_.instance) {
            apply_update_about_self(update);
            return;
        }
        const auto outcome = rows_.merge(update);
        if (outcome == merge_outcome::stale) {
            ++counters_.stale_updates;
        } else if (outcome == merge_outcome::changed) {
            row_changed(update.instance);
        } else if (outcome == merge_outcome::unconfirmed_failure) {
            row_changed(update.instance);
            failure_deadlines_.try_emplace(update.instance,
                                           clock_.now() + options_.suspicion_timeout);
        }
    }

    void apply_update_about_self(const model::instance_info& update) {
        if (process_start(update.incarnation_number) > process_start(self_.incarnation_number)) {
            superseded_ = true;
            return;
        }
        if (update.incarnation_number < self_.incarnation_number ||
            process_start(update.incarnation_number) < process_start(self_.incarnation_number)) {
            return;
        }
        if (update.status == model::instance_status::leaving) {
            leave();
        } else if (update.status != model::instance_status::alive) {
            ++counters_.refutations;
            self_.incarnation_number = update.incarnation_number.next();
            view_changed_ = true;
            disseminate(self_.instance);
        }
    }

    /// Updates timers, view and queues after merge() or set_status() changed a row.
    void row_changed(const model::instance_id& id) {
        if (configured_leaving_.contains(id)) {
            mark_leaving(id);
        }
        const auto* known = rows_.find(id);
        const auto status = known->info.status;
        if (status == model::instance_status::alive) {
            failure_deadlines_.erase(id);
        } else if (status == model::instance_status::suspect) {
            failure_deadlines_.try_emplace(id, clock_.now() + options_.suspicion_timeout);
        } else if (status == model::instance_status::failed) {
            failure_deadlines_.erase(id);
            rows_.set_purge_time(id, clock_.now() + options_.failed_retention);
        }
        view_changed_ = true;
        disseminate(id);
    }

    void mark_leaving(const model::instance_id& id) {
        const auto* known = rows_.find(id);
        if (known != nullptr && known->info.status != model::instance_status::failed &&
            rows_.set_status(id, model::instance_status::leaving)) {
            view_changed_ = true;
            disseminate(id);
        }
    }

    void mark_failed(const model::instance_id& id) {
        if (rows_.set_status(id, model::instance_status::failed)) {
            ++counters_.failures;
            row_changed(id);
        }
    }

    /// Also informs the instance, so that it can refute the suspicion.
    void mark_suspect(const model::instance_id& id) {
        const auto* known = rows_.find(id);
        if (known == nullptr || known->info.status == model::instance_status::failed) {
            return;
        }
        ++counters_.suspicions;
        if (known->info.status == model::instance_status::alive) {
            rows_.set_status(id, model::instance_status::suspect);
            row_changed(id);
        }
        failure_deadlines_.try_emplace(id, clock_.now() + options_.suspicion_timeout);
        transport_.send_gossip_reply(known->info, next_header(), build_message(known->info, {}));
    }

    void apply_platform_entry(const instance_list_entry& entry) {
        const auto& id = entry.row.instance;
        const auto* known = rows_.find(id);
        if (known == nullptr) {
            auto row = entry.row;
            row.status =
                entry.leaving ? model::instance_status::leaving : model::instance_status::alive;
            rows_.merge(row);
            view_changed_ = true;
            if (configured_leaving_.contains(id)) {
                mark_leaving(id);
            }
            return;
        }
        // The entry may be about an earlier process of the instance.
        const bool same_process = process_start(entry.row.incarnation_number) ==
                                  process_start(known->info.incarnation_number);
        if (entry.leaving && same_process) {
            mark_leaving(id);
        }
    }

    void add_draining(const draining_notice& notice) {
        if (notices_.add_draining(notice, clock_.now())) {
            schedule_push(true);
        }
    }

    void add_quarantined(std::uint64_t fingerprint) {
        if (notices_.add_quarantined(fingerprint)) {
            schedule_push(true);
        }
    }

    void disseminate(const model::instance_id& id) {
        updates_.push(id);
        const auto* row = rows_.find(id);
        const bool is_self = row == nullptr;
        schedule_push(is_self || row->info.status == model::instance_status::leaving);
    }

    void schedule_push(bool urgent) {
        if (options_.push_fanout == 0) {
            return;
        }
        const auto at = clock_.now() + options_.push_delay;
        urgent_push_ = urgent_push_ || urgent;
        // A push that waits for its rate limit must not delay an urgent one.
        push_at_ = push_at_ ? std::min(*push_at_, urgent ? at : *push_at_) : at;
    }

    void push_if_allowed(kernel::time_point now) {
        auto& limiter = urgent_push_ ? urgent_push_limiter_ : push_limiter_;
        if (limiter.take(now)) {
            push_now();
        } else {
            push_at_ = limiter.next();
        }
    }

    void push_now() {
        push_at_.reset();
        urgent_push_ = false;
        for (const auto& to :
             random_rows(rows_.not_failed(), options_.push_fanout, self_.instance)) {
            ++counters_.pushes;
            transport_.send_gossip_reply(to, next_header(), build_message(to, {}));
        }
    }

    /// Returns copies, since a transport may deliver messages immediately and so change the rows.
    std::vector<model::instance_info> random_rows(const std::vector<const member_rows::row*>& from,
                                                  std::size_t count,
                                                  const model::instance_id& except) {
        std::vector<model::instance_info> chosen;
        std::set<std::size_t> tried;
        while (chosen.size() < count && tried.size() < from.size()) {
            const auto index = kernel::uniform_below(random_, from.size());
            const bool is_new = tried.insert(index).second;
            if (is_new && from[index]->info.instance != except) {
                chosen.push_back(from[index]->info);
            }
        }
        return chosen;
    }

    void exchange(kernel::time_point now) {
        view_changed_ = rows_.purge(now, options_.max_failed_rows) || view_changed_;
        notices_.expire(now);
        if (const auto to = next_exchange_peer()) {
            send_exchange(*to, {});
        }
        ++exchanges_;
        if (options_.exchanges_per_reconnect > 0 &&
            exchanges_ % options_.exchanges_per_reconnect == 0) {
            for (const auto& to : random_rows(rows_.failed(), 1, self_.instance)) {
                transport_.send_gossip(to, next_header(), build_message(to, {}));
            }
        }
    }

    /// The peers take turns in a random order that changes after each round, so that the time until
    /// a peer is contacted again is bounded. With a random choice each time, all instances of a
    /// small deployment might leave one out for several periods.
    std::optional<model::instance_info> next_exchange_peer() {
        auto next = take_exchange_peer();
        if (!next) {
            begin_exchange_round();
            next = take_exchange_peer();
        }
        return next;
    }

    std::optional<model::instance_info> take_exchange_peer() {
        while (!exchange_order_.empty()) {
            const auto id = std::move(exchange_order_.back());
            exchange_order_.pop_back();
            const auto* row = rows_.find(id);
            if (row != nullptr && row->info.status != model::instance_status::failed) {
                return row->info;
            }
        }
        return std::nullopt;
    }

    void begin_exchange_round() {
        for (const auto* row : rows_.not_failed()) {
            if (row->info.instance != self_.instance) {
                const auto at = kernel::uniform_below(random_, exchange_order_.size() + 1);
                exchange_order_.push_back(row->info.instance);
                std::swap(exchange_order_[at], exchange_order_.back());
            }
        }
    }

    /// An empty `requester` means that this instance probes for itself.
    void send_exchange(const model::instance_info& to, const message_header& requester) {
        const auto header = next_header();
        const auto kind = requester.sender.empty() ? probe_kind::direct : probe_kind::requested;
        pending_probes_.push_back(
            {to.instance, clock_.now() + options_.reply_timeout, kind, requester});
        transport_.send_gossip(to, header, build_message(to, {}));
    }

    void send_probe_result(const pending_probe& probe, bool reached) {
        const auto* to = rows_.find(probe.requester.sender);
        if (to != nullptr) {
            transport_.send_probe_reply(to->info, next_header(probe.requester.message_id),
                                        {probe.peer, reached});
        }
    }

    void expire_probes(kernel::time_point now) {
        std::vector<pending_probe> expired;
        std::erase_if(pending_probes_, [&](const auto& probe) {
            if (probe.deadline <= now) {
                expired.push_back(probe);
            }
            return probe.deadline <= now;
        });
        for (auto& probe : expired) {
            if (probe.kind == probe_kind::requested) {
                send_probe_result(probe, false);
            } else if (probe.kind == probe_kind::direct && options_.indirect_probes > 0) {
                probe_indirectly(probe, now);
            } else {
                mark_suspect(probe.peer);
            }
        }
    }

    void probe_indirectly(const pending_probe& direct, kernel::time_point now) {
        pending_probes_.push_back(
            {direct.peer, now + options_.indirect_probe_timeout, probe_kind::indirect, {}});
        for (const auto& via :
             random_rows(rows_.not_failed(), options_.indirect_probes, direct.peer)) {
            transport_.send_probe_request(via, next_header(), {direct.peer});
        }
    }

    void expire_failure_deadlines(kernel::time_point now) {
        std::vector<model::instance_id> expired;
        for (const auto& [id, at] : failure_deadlines_) {
            if (at <= now) {
                expired.push_back(id);
            }
        }
        for (const auto& id : expired) {
            failure_deadlines_.erase(id);
            mark_failed(id);
        }
    }

    /// Discards pending probes and restarts the suspicion timeouts, after a pause of this process.
    void restart_timeouts(kernel::time_point now) {
        pending_probes_.clear();
        for (auto& [id, at] : failure_deadlines_) {
            at = now + options_.suspicion_timeout;
        }
    }

    [[nodiscard]] std::uint32_t size() const {
        return static_cast<std::uint32_t>(rows_.size() + 1);
    }

    [[nodiscard]] std::uint32_t send_limit() const {
        const auto log = static_cast<std::uint32_t>(std::bit_width(rows_.size() + 1));
        return options_.retransmit_factor * log;
    }

    /// Builds the message for one peer, within the size limit.
    gossip_message build_message(const model::instance_info& to, receiver_state receiver) {
        gossip_message message;
        message.table_size = size();
        std::size_t used = max_encoded_size(self_);
        std::set<model::instance_id> included{self_.instance};
        message.members.push_back(self_);
        const auto reserve = [&](std::size_t bytes) {
            const bool fit = used + bytes <= options_.max_message_bytes;
            used += fit ? bytes : 0;
            return fit;
        };
        const auto add = [&](const model::instance_info& row) {
            if (included.contains(row.instance)) {
                return true;
            }
            const bool fit = reserve(max_encoded_size(row));
            if (fit) {
                included.insert(row.instance);
                message.members.push_back(row);
            }
            return fit;
        };
        // A peer that is not alive here must be told its status, so that it can refute it.
        const auto* peer = rows_.find(to.instance);
        if (peer != nullptr && peer->info.status != model::instance_status::alive) {
            add(peer->info);
        }
        if (receiver.is_new_process) {
            add_unavailable_rows(add);
        }
        notices_.write(message, send_limit(), clock_.now(), reserve);
        updates_.take(send_limit(), [&](const auto& id) {
            const auto* row = rows_.find(id);
            return row == nullptr || add(row->info);
        });
        const bool lacks_rows = receiver.table_size + receiver.table_size / 16 < rows_.size();
        const bool fill = receiver.table_size > 0 && lacks_rows;
        // A message cannot hold max_message_bytes rows, so this fills it.
        add_refresh_rows(fill ? options_.max_message_bytes : options_.refresh_rows, add);
        return message;
    }

    /// Adds the rows that an outdated platform list may still show as alive: leaving ones first,
    /// then failed ones, the latest purge time first.
    template <class Add>
    void add_unavailable_rows(Add add) {
        for (const auto* row : rows_.not_failed()) {
            if (row->info.status == model::instance_status::leaving && !add(row->info)) {
                return;
            }
        }
        auto failed = rows_.failed();
        std::sort(failed.begin(), failed.end(),
                  [](const auto* a, const auto* b) { return a->purge_at > b->purge_at; });
        for (const auto* row : failed) {
            if (!add(row->info)) {
                return;
            }
        }
    }

    template <class Add>
    void add_refresh_rows(std::size_t count, Add add) {
        const auto& rows = rows_.not_failed();
        for (std::size_t n = 0; n < std::min(count, rows.size()); ++n) {
            const auto index = kernel::uniform_below(random_, rows.size());
            // Rows known only from the platform's list contain nothing new for a peer.
            const bool has_incarnation = rows[index]->info.incarnation_number.value > 0;
            if (has_incarnation && !add(rows[index]->info)) {
                return;
            }
        }
    }

    const Clock& clock_;
    Random& random_;
    Transport& transport_;
    member_options options_;
    model::instance_info self_;
    member_rows rows_;
    std::set<model::instance_id> listed_;
    std::set<model::instance_id> configured_leaving_;
    std::vector<pending_probe> pending_probes_;
    /// When a row becomes failed: a suspect one, or a leaving one that does not reply.
    std::map<model::instance_id, kernel::time_point> failure_deadlines_;
    dissemination_queue<model::instance_id> updates_;
    gossip_notices notices_;
    kernel::time_point next_exchange_;
    std::uint64_t exchanges_ = 0;
    /// The instances that exchanges of this round are still to be sent to, the next one last.
    std::vector<model::instance_id> exchange_order_;
    std::optional<kernel::time_point> push_at_;
    push_rate_limiter push_limiter_;
    push_rate_limiter urgent_push_limiter_;
    bool urgent_push_ = false;
    std::uint64_t last_message_id_ = 0;
    bool view_changed_ = true;
    bool superseded_ = false;
    member_counters counters_;
};

}  // namespace poplarfront::membership
