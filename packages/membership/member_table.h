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

/// One entry of the platform's list of instances. `row.incarnation_number` is 0 if the list does
/// not say it.
struct instance_list_entry {
    model::instance_info row;
    bool leaving = false;
    friend auto operator<=>(const instance_list_entry&, const instance_list_entry&) = default;
};

/// Knows all instances: detects failures by gossip and spreads news about instances, draining
/// backend servers and quarantined queries.
///
/// Thread safety: used on the control thread. Clock, random source and transport must outlive the
/// table. `on_timer` must be called when the time of `next_timer` has come.
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
          push_limit_(options_.push_burst, options_.push_refill_interval, clock_.now()),
          prompt_push_limit_(options_.urgent_push_burst, options_.urgent_push_refill_interval,
                             clock_.now()) {
        const auto period = static_cast<std::uint64_t>(options_.exchange_period.count());
        const auto phase = kernel::uniform_below(random_, period);
        next_exchange_ = clock_.now() + kernel::duration{static_cast<kernel::duration::rep>(phase)};
    }

    /// Tells some peers at once that this instance is there; their replies tell which instances
    /// are leaving. Call it after the first list.
    void announce() {
        for (const auto& to :
             random_rows(rows_.reachable(), options_.push_fanout, self_.instance)) {
            transport_.send_gossip(to, next_header(), build(to, {}));
        }
    }

    /// Takes the platform's list, which lags: it adds unknown instances and removes those that it
    /// dropped and that do not answer.
    void on_instance_list(const std::vector<instance_list_entry>& entries) {
        std::set<model::instance_id> listed;
        for (const auto& it : entries) {
            listed.insert(it.row.instance);
            if (it.row.instance != self_.instance) {
                take_entry(it);
            }
        }
        for (const auto& id : listed_) {
            const auto* known = rows_.find(id);
            if (!listed.contains(id) && known != nullptr && !answers(*known)) {
                // The row stays for a while: a late message must not make it alive again.
                fail(id);
                rows_.set_purge_time(id, clock_.now() + removed_kept);
            }
        }
        listed_ = std::move(listed);
    }

    /// Takes the instances of the configuration's `leaving` section that is in force.
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

    /// Tells the others that this instance stops. It stays leaving until the process ends.
    void leave() {
        if (self_.status == model::instance_status::leaving) {
            return;
        }
        self_.status = model::instance_status::leaving;
        view_changed_ = true;
        news_.push(self_.instance);
        push_now();
    }

    void on_gossip(const message_header& header, const gossip_message& message) {
        const auto* known = rows_.find(header.sender);
        const bool started = known == nullptr || process_start(known->info.incarnation_number) !=
                                                     process_start(header.sender_incarnation);
        const bool fresh = receive(header);
        if (fresh) {
            take_news(message);
        }
        const auto* from = rows_.find(header.sender);
        if (from == nullptr) {
            return;
        }
        const auto reply = next_header(header.message_id);
        if (fresh) {
            const auto news = build(from->info, {message.table_size, started});
            transport_.send_gossip_reply(from->info, reply, news);
        } else {
            // The older process learns that it was replaced.
            transport_.send_gossip_reply(from->info, reply, {size(), {self_, from->info}, {}, {}});
        }
    }

    void on_gossip_reply(const message_header& header, const gossip_message& message) {
        if (receive(header)) {
            take_news(message);
        }
    }

    void on_probe_request(const message_header& header, const probe_request& request) {
        const auto* target = rows_.find(request.target);
        if (!receive(header) || target == nullptr) {
            return;
        }
        send_exchange(target->info, header);
    }

    void on_probe_reply(const message_header& header, const probe_reply& reply) {
        if (receive(header) && reply.reached) {
            heard(reply.target);
        }
    }

    /// A reply of another kind came from this instance, so it is not dead.
    void on_traffic(const model::instance_id& instance) { heard(instance); }

    /// This instance saw a backend server draining. The notice is valid for `valid`.
    void report_draining(const model::server_id& server, kernel::duration valid) {
        add_draining({server, std::chrono::duration_cast<std::chrono::milliseconds>(valid)});
    }

    void report_quarantined(std::uint64_t fingerprint) { add_quarantined(fingerprint); }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = next_exchange_;
        for (const auto& it : pending_) {
            next = std::min(next, it.deadline);
        }
        for (const auto& [id, at] : suspicions_) {
            next = std::min(next, at);
        }
        return push_at_ ? std::min(next, *push_at_) : next;
    }

    void on_timer() {
        const auto now = clock_.now();
        if (now - next_timer() > pause_limit) {
            forgive(now);
        }
        end_pending(now);
        end_suspicions(now);
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

    /// The backend servers seen draining, sorted, if they changed since the last call.
    [[nodiscard]] std::optional<std::vector<model::server_id>> take_changed_draining() {
        return notices_.take_changed_draining();
    }

    /// The fingerprints heard since the last call.
    [[nodiscard]] std::vector<std::uint64_t> take_new_quarantined() {
        return notices_.take_new_quarantined();
    }

    [[nodiscard]] const model::instance_info& self() const { return self_; }
    /// Null if the instance is unknown or this one. Valid until the next input.
    [[nodiscard]] const model::instance_info* find(const model::instance_id& id) const {
        const auto* row = rows_.find(id);
        return row == nullptr ? nullptr : &row->info;
    }
    /// Another process with this instance's name has started later; this one must stop.
    [[nodiscard]] bool superseded() const { return superseded_; }
    [[nodiscard]] const member_counters& counters() const { return counters_; }

private:
    enum class stage { direct, indirect, mediated };

    /// An exchange without a reply yet.
    struct pending {
        model::instance_id peer;
        kernel::time_point deadline;
        stage step = stage::direct;
        /// Who asked for it, if it is mediated.
        message_header requester;
    };

    /// What is known of the receiver of a message.
    struct receiver_state {
        /// The size of its table, 0 if it is not known.
        std::uint32_t table_size = 0;
        /// It started since it was last heard of, so it missed who has gone.
        bool started = false;
    };

    // A timer this late means that the process was paused; silence in that time proves nothing.
    static constexpr kernel::duration pause_limit = std::chrono::milliseconds{300};
    static constexpr kernel::duration removed_kept = std::chrono::minutes{10};

    static bool answers(const member_rows::row& row) {
        return row.info.status == model::instance_status::alive;
    }

    message_header next_header(std::uint64_t reply_to = 0) {
        return {self_.instance, self_.incarnation_number, ++last_message_, reply_to};
    }

    /// Whether the message is of the sender's newest known incarnation.
    bool receive(const message_header& header) {
        const auto* known = rows_.find(header.sender);
        if (known != nullptr && header.sender_incarnation < known->info.incarnation_number) {
            ++counters_.stale_messages;
            return false;
        }
        heard(header.sender);
        return true;
    }

    void heard(const model::instance_id& id) {
        for (const auto& it : pending_) {
            if (it.peer == id && it.step == stage::mediated) {
                answer_probe(it, true);
            }
        }
        std::erase_if(pending_, [&](const auto& it) { return it.peer == id; });
        const auto it = suspicions_.find(id);
        if (it == suspicions_.end()) {
            return;
        }
        const auto* known = rows_.find(id);
        if (known != nullptr && known->info.status == model::instance_status::leaving) {
            suspicions_.erase(it);
        } else {
            // It stays suspect until it refutes, which it does when it is told.
            it->second = clock_.now() + options_.suspicion_timeout;
        }
    }

    void take_news(const gossip_message& message) {
        for (const auto& it : message.members) {
            take_update(it);
        }
        for (const auto& it : message.draining) {
            add_draining(it);
        }
        for (const auto fingerprint : message.quarantined) {
            add_quarantined(fingerprint);
        }
    }

    void take_update(const model::instance_info& update) {
        if (update.instance == self_.instance) {
            take_own_update(update);
            return;
        }
        const auto outcome = rows_.merge(update);
        if (outcome == merge_outcome::stale) {
            ++counters_.stale_updates;
        } else if (outcome == merge_outcome::changed) {
            row_changed(update.instance);
        } else if (outcome == merge_outcome::unconfirmed_failure) {
            row_changed(update.instance);
            suspicions_.try_emplace(update.instance, clock_.now() + options_.suspicion_timeout);
        }
    }

    void take_own_update(const model::instance_info& update) {
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
            spread(self_.instance);
        }
    }

    /// Follows up a row that merge() or set_status() changed.
    void row_changed(const model::instance_id& id) {
        if (configured_leaving_.contains(id)) {
            mark_leaving(id);
        }
        const auto* known = rows_.find(id);
        const auto status = known->info.status;
        if (status == model::instance_status::alive) {
            suspicions_.erase(id);
        } else if (status == model::instance_status::suspect) {
            suspicions_.try_emplace(id, clock_.now() + options_.suspicion_timeout);
        } else if (status == model::instance_status::failed) {
            suspicions_.erase(id);
            rows_.set_purge_time(id, clock_.now() + options_.failed_retention);
        }
        view_changed_ = true;
        spread(id);
    }

    void mark_leaving(const model::instance_id& id) {
        const auto* known = rows_.find(id);
        if (known != nullptr && known->info.status != model::instance_status::failed &&
            rows_.set_status(id, model::instance_status::leaving)) {
            view_changed_ = true;
            spread(id);
        }
    }

    void fail(const model::instance_id& id) {
        if (rows_.set_status(id, model::instance_status::failed)) {
            ++counters_.failures;
            row_changed(id);
        }
    }

    void suspect(const model::instance_id& id) {
        const auto* known = rows_.find(id);
        if (known == nullptr || known->info.status == model::instance_status::failed) {
            return;
        }
        ++counters_.suspicions;
        if (known->info.status == model::instance_status::alive) {
            rows_.set_status(id, model::instance_status::suspect);
            row_changed(id);
        }
        suspicions_.try_emplace(id, clock_.now() + options_.suspicion_timeout);
        transport_.send_gossip_reply(known->info, next_header(), build(known->info, {}));
    }

    void take_entry(const instance_list_entry& entry) {
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
        // The entry may be about an earlier process of the same name.
        const bool same = process_start(entry.row.incarnation_number) ==
                          process_start(known->info.incarnation_number);
        if (entry.leaving && same) {
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

    void spread(const model::instance_id& id) {
        news_.push(id);
        const auto* row = rows_.find(id);
        const bool own = row == nullptr;
        schedule_push(own || row->info.status == model::instance_status::leaving);
    }

    void schedule_push(bool prompt) {
        if (options_.push_fanout == 0) {
            return;
        }
        const auto at = clock_.now() + options_.push_delay;
        prompt_push_ = prompt_push_ || prompt;
        // A push that waits for its allowance must not hold up a prompt one.
        push_at_ = push_at_ ? std::min(*push_at_, prompt ? at : *push_at_) : at;
    }

    void push_if_allowed(kernel::time_point now) {
        auto& limit = prompt_push_ ? prompt_push_limit_ : push_limit_;
        if (limit.take(now)) {
            push_now();
        } else {
            push_at_ = limit.next();
        }
    }

    void push_now() {
        push_at_.reset();
        prompt_push_ = false;
        for (const auto& to :
             random_rows(rows_.reachable(), options_.push_fanout, self_.instance)) {
            ++counters_.pushes;
            transport_.send_gossip_reply(to, next_header(), build(to, {}));
        }
    }

    /// Copies, since a transport may deliver at once and so change the rows.
    std::vector<model::instance_info> random_rows(const std::vector<const member_rows::row*>& from,
                                                  std::size_t count,
                                                  const model::instance_id& except) {
        std::vector<model::instance_info> chosen;
        std::set<std::size_t> tried;
        while (chosen.size() < count && tried.size() < from.size()) {
            const auto at = kernel::uniform_below(random_, from.size());
            const bool fresh = tried.insert(at).second;
            if (fresh && from[at]->info.instance != except) {
                chosen.push_back(from[at]->info);
            }
        }
        return chosen;
    }

    void exchange(kernel::time_point now) {
        view_changed_ = rows_.purge(now, options_.max_failed_rows) || view_changed_;
        notices_.expire(now);
        for (const auto& to : random_rows(rows_.reachable(), 1, self_.instance)) {
            send_exchange(to, {});
        }
        ++exchanges_;
        if (options_.exchanges_per_reconnect > 0 &&
            exchanges_ % options_.exchanges_per_reconnect == 0) {
            for (const auto& to : random_rows(rows_.failed(), 1, self_.instance)) {
                transport_.send_gossip(to, next_header(), build(to, {}));
            }
        }
    }

    /// Without a requester the exchange is this instance's own.
    void send_exchange(const model::instance_info& to, const message_header& requester) {
        const auto header = next_header();
        const auto step = requester.sender.empty() ? stage::direct : stage::mediated;
        pending_.push_back({to.instance, clock_.now() + options_.reply_timeout, step, requester});
        transport_.send_gossip(to, header, build(to, {}));
    }

    void answer_probe(const pending& probe, bool reached) {
        const auto* to = rows_.find(probe.requester.sender);
        if (to != nullptr) {
            transport_.send_probe_reply(to->info, next_header(probe.requester.message_id),
                                        {probe.peer, reached});
        }
    }

    void end_pending(kernel::time_point now) {
        std::vector<pending> ended;
        std::erase_if(pending_, [&](const auto& it) {
            if (it.deadline <= now) {
                ended.push_back(it);
            }
            return it.deadline <= now;
        });
        for (auto& it : ended) {
            if (it.step == stage::mediated) {
                answer_probe(it, false);
            } else if (it.step == stage::direct && options_.indirect_probes > 0) {
                probe_indirectly(it, now);
            } else {
                suspect(it.peer);
            }
        }
    }

    void probe_indirectly(const pending& direct, kernel::time_point now) {
        pending_.push_back(
            {direct.peer, now + options_.indirect_probe_timeout, stage::indirect, {}});
        for (const auto& via :
             random_rows(rows_.reachable(), options_.indirect_probes, direct.peer)) {
            transport_.send_probe_request(via, next_header(), {direct.peer});
        }
    }

    void end_suspicions(kernel::time_point now) {
        std::vector<model::instance_id> ended;
        for (const auto& [id, at] : suspicions_) {
            if (at <= now) {
                ended.push_back(id);
            }
        }
        for (const auto& id : ended) {
            suspicions_.erase(id);
            fail(id);
        }
    }

    void forgive(kernel::time_point now) {
        pending_.clear();
        for (auto& [id, at] : suspicions_) {
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

    /// The news for one peer, within the size limit.
    gossip_message build(const model::instance_info& to, receiver_state receiver) {
        gossip_message message;
        message.table_size = size();
        std::size_t used = max_encoded_size(self_);
        std::set<model::instance_id> included{self_.instance};
        message.members.push_back(self_);
        const auto fits = [&](std::size_t bytes) {
            const bool fit = used + bytes <= options_.max_message_bytes;
            used += fit ? bytes : 0;
            return fit;
        };
        const auto add = [&](const model::instance_info& row) {
            if (included.contains(row.instance)) {
                return true;
            }
            const bool fit = fits(max_encoded_size(row));
            if (fit) {
                included.insert(row.instance);
                message.members.push_back(row);
            }
            return fit;
        };
        // An instance that is thought dead must hear of it, so that it can refute.
        const auto* peer = rows_.find(to.instance);
        if (peer != nullptr && peer->info.status != model::instance_status::alive) {
            add(peer->info);
        }
        if (receiver.started) {
            add_not_working(add);
        }
        notices_.write(message, send_limit(), clock_.now(), fits);
        news_.take(send_limit(), [&](const auto& id) {
            const auto* row = rows_.find(id);
            return row == nullptr || add(row->info);
        });
        const auto lacking = receiver.table_size + receiver.table_size / 16 < rows_.size();
        const bool fill = receiver.table_size > 0 && lacking;
        add_refresh(fill ? options_.max_message_bytes : options_.refresh_rows, add);
        return message;
    }

    /// Rows that the lagging platform's list may still show as alive: all leaving ones, then the
    /// failed ones, the latest first.
    template <class Add>
    void add_not_working(Add add) {
        for (const auto* row : rows_.reachable()) {
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
    void add_refresh(std::size_t count, Add add) {
        const auto& rows = rows_.reachable();
        for (std::size_t n = 0; n < std::min(count, rows.size()); ++n) {
            const auto at = kernel::uniform_below(random_, rows.size());
            // Rows known only from the platform's list are no news to anyone.
            const bool known = rows[at]->info.incarnation_number.value > 0;
            if (known && !add(rows[at]->info)) {
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
    std::vector<pending> pending_;
    /// When a suspect or silent leaving row becomes failed.
    std::map<model::instance_id, kernel::time_point> suspicions_;
    dissemination_queue<model::instance_id> news_;
    gossip_notices notices_;
    kernel::time_point next_exchange_;
    std::uint64_t exchanges_ = 0;
    std::optional<kernel::time_point> push_at_;
    push_rate_limiter push_limit_;
    push_rate_limiter prompt_push_limit_;
    bool prompt_push_ = false;
    std::uint64_t last_message_ = 0;
    bool view_changed_ = true;
    bool superseded_ = false;
    member_counters counters_;
};

}  // namespace poplarfront::membership
