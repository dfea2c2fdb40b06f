#pragma once

#include <concepts>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "at_most_once/action_session.h"
#include "at_most_once/claim.h"
#include "kernel/concepts.h"
#include "model/action.h"

namespace poplarfront::at_most_once {

/// Names one action under way on its home instance.
using action_number = std::uint64_t;

/// Sends actions to backend servers. Returns at once; the reply is passed back with the number.
template <class T>
concept numbered_action_transport = requires(T& transport, action_number number,
                                             const model::action_request& action) {
    { transport.send(number, action) } -> std::same_as<void>;
};

/// A claim service whose events are taken from it.
template <class T>
concept claim_event_source = claim_service<T> && requires(T& claims) {
    { claims.take_events() } -> std::same_as<std::vector<claim_event>>;
};

/// The outcome of an action.
struct action_result {
    action_number number = 0;
    model::request_id request;
    model::searcher_id searcher;
    model::action_outcome outcome;
    friend auto operator<=>(const action_result&, const action_result&) = default;
};

/// The actions under way on their home instance: passes each event to the session it belongs to.
///
/// Thread safety: used on one thread. Clock, transport and claims must outlive it, and nothing else
/// takes the events of `claims`. The transport must give exactly one reply to each action sent, and
/// not before `send` has returned.
template <kernel::clock_source Clock, numbered_action_transport Transport,
          claim_event_source Claims>
class action_session_table {
public:
    action_session_table(const Clock& clock, Transport& transport, Claims& claims,
                         session_policy policy = {})
        : clock_(clock), transport_(transport), claims_(claims), policy_(policy) {}

    /// Starts an action; `now` is the wall clock.
    action_number start(model::action_request request, wall_time now) {
        const auto number = ++last_number_;
        deadlines_.emplace(request.deadline, number);
        auto& added = *actions_.emplace(number, std::make_unique<entry>(*this, number, request))
                           .first->second;
        added.session.start(now);
        after_event(added);
        return number;
    }

    /// Takes the reply to an action that was sent.
    void on_reply(action_number number, const action_reply& reply) {
        const auto found = actions_.find(number);
        if (found != actions_.end()) {
            auto& replied = *found->second;
            replied.session.on_reply(reply);
            after_event(replied);
        }
    }

    /// Must be called after each completion or timer of the claim table.
    void on_claim_events() {
        for (auto events = claims_.take_events(); !events.empty(); events = claims_.take_events()) {
            for (const auto& event : events) {
                on_claim_event(event);
            }
        }
    }

    /// Must be called when the time of next_timer() has come.
    void on_timer() {
        while (!deadlines_.empty() && deadlines_.begin()->first <= clock_.now()) {
            const auto found = actions_.find(deadlines_.begin()->second);
            deadlines_.erase(deadlines_.begin());
            if (found != actions_.end()) {
                auto& expired = *found->second;
                expired.session.on_timer();
                after_event(expired);
            }
        }
    }

    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        return deadlines_.empty() ? std::nullopt : std::optional{deadlines_.begin()->first};
    }

    /// The outcomes since the last take.
    std::vector<action_result> take_results() { return std::exchange(results_, {}); }

    /// Actions under way, with those that are answered but not yet recorded.
    [[nodiscard]] std::size_t size() const { return actions_.size(); }

private:
    struct session_transport {
        Transport& transport;
        action_number number;
        void send(const model::action_request& action) { transport.send(number, action); }
    };

    struct entry {
        entry(action_session_table& owner, action_number number, model::action_request request)
            : transport{owner.transport_, number},
              session(owner.clock_, transport, owner.claims_, std::move(request), owner.policy_) {}

        session_transport transport;
        action_session<Clock, session_transport, Claims> session;
        /// The ticket under which the session is listed.
        claim_ticket ticket = 0;
        bool answered = false;
    };

    void on_claim_event(const claim_event& event) {
        const auto found = by_ticket_.find(event.ticket);
        if (found != by_ticket_.end()) {
            auto& claimed = *actions_.at(found->second);
            claimed.session.on_claim_event(event);
            after_event(claimed);
        }
    }

    /// Gives the result, lists the session under its present ticket, and drops it if it has ended.
    void after_event(entry& changed) {
        const auto number = changed.transport.number;
        const auto& session = changed.session;
        if (session.result() && !changed.answered) {
            changed.answered = true;
            results_.push_back(
                {number, session.request().request, session.request().searcher, *session.result()});
        }
        if (session.finished() || session.ticket() != changed.ticket) {
            by_ticket_.erase(changed.ticket);
            changed.ticket = session.ticket();
        }
        if (session.finished()) {
            deadlines_.erase({session.request().deadline, number});
            actions_.erase(number);
        } else if (changed.ticket != 0) {
            by_ticket_.insert_or_assign(changed.ticket, number);
        }
    }

    const Clock& clock_;
    Transport& transport_;
    Claims& claims_;
    session_policy policy_;
    action_number last_number_ = 0;
    std::unordered_map<action_number, std::unique_ptr<entry>> actions_;
    std::unordered_map<claim_ticket, action_number> by_ticket_;
    std::set<std::pair<kernel::time_point, action_number>> deadlines_;
    std::vector<action_result> results_;
};

}  // namespace poplarfront::at_most_once
