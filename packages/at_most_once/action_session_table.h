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

/// Identifies one action in progress on its home instance.
using action_number = std::uint64_t;

/// Sends actions to backend servers. `send` does not block; the reply is passed to
/// action_session_table::on_reply with the same number.
template <class T>
concept numbered_action_transport = requires(T& transport, action_number number,
                                             const model::action_request& action) {
    { transport.send(number, action) } -> std::same_as<void>;
};

/// A claim service that queues its events until they are taken.
template <class T>
concept claim_event_source = claim_service<T> && requires(T& claims) {
    { claims.take_events() } -> std::same_as<std::vector<claim_event>>;
};

/// The outcome of one action, with the number and the ids to match it by.
struct action_result {
    action_number number = 0;
    model::request_id request;
    model::searcher_id searcher;
    model::action_outcome outcome;
    friend auto operator<=>(const action_result&, const action_result&) = default;
};

/// The sessions of all actions in progress on this home instance. Passes each event to the session
/// it belongs to.
///
/// Thread safety: used on one thread. `clock`, `transport` and `claims` must outlive it, and
/// nothing else may take the events of `claims`. The transport must deliver at least one reply or
/// failure for each action sent, and none before `send` has returned. Replies after the first
/// matching one are ignored.
template <kernel::clock_source Clock, numbered_action_transport Transport,
          claim_event_source Claims>
class action_session_table {
public:
    action_session_table(const Clock& clock, Transport& transport, Claims& claims,
                         session_policy policy = {})
        : clock_(clock), transport_(transport), claims_(claims), policy_(policy) {}

    /// Starts an action. `now` is the wall-clock time.
    action_number start(model::action_request request, wall_time now) {
        const auto number = ++last_number_;
        deadlines_.emplace(request.deadline, number);
        auto& action =
            *actions_.emplace(number, std::make_unique<active_action>(*this, number, request))
                 .first->second;
        action.session.start(now);
        update(action);
        return number;
    }

    /// Handles the reply to an action that was sent.
    void on_reply(action_number number, const action_reply& reply) {
        const auto found = actions_.find(number);
        if (found != actions_.end()) {
            auto& action = *found->second;
            action.session.on_reply(reply);
            update(action);
        }
    }

    /// Passes the events of the claim table to their sessions. Must be called after start() and
    /// after each on_read, on_write or on_timer call of the claim table.
    void on_claim_events() {
        for (auto events = claims_.take_events(); !events.empty(); events = claims_.take_events()) {
            for (const auto& event : events) {
                dispatch(event);
            }
        }
    }

    /// Must be called when the time next_timer() is reached.
    void on_timer() {
        while (!deadlines_.empty() && deadlines_.begin()->first <= clock_.now()) {
            const auto found = actions_.find(deadlines_.begin()->second);
            deadlines_.erase(deadlines_.begin());
            if (found != actions_.end()) {
                auto& action = *found->second;
                action.session.on_timer();
                update(action);
            }
        }
    }

    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        return deadlines_.empty() ? std::nullopt : std::optional{deadlines_.begin()->first};
    }

    /// The outcomes since the previous call.
    std::vector<action_result> take_results() { return std::exchange(results_, {}); }

    /// Number of actions whose session is not finished, including those that have a result.
    [[nodiscard]] std::size_t size() const { return actions_.size(); }

private:
    struct session_transport {
        Transport& transport;
        action_number number;
        void send(const model::action_request& action) { transport.send(number, action); }
    };

    struct active_action {
        active_action(action_session_table& owner, action_number number,
                      model::action_request request)
            : transport{owner.transport_, number},
              session(owner.clock_, transport, owner.claims_, std::move(request), owner.policy_) {}

        session_transport transport;
        action_session<Clock, session_transport, Claims> session;
        /// The key of this action in action_by_ticket_; 0 if it has none.
        claim_ticket ticket = 0;
        bool answered = false;
    };

    void dispatch(const claim_event& event) {
        const auto found = action_by_ticket_.find(event.ticket);
        if (found != action_by_ticket_.end()) {
            auto& action = *actions_.at(found->second);
            action.session.on_claim_event(event);
            update(action);
        }
    }

    /// Publishes a new result, updates action_by_ticket_, and removes the session if it is
    /// finished.
    void update(active_action& action) {
        const auto number = action.transport.number;
        const auto& session = action.session;
        if (session.result() && !action.answered) {
            action.answered = true;
            results_.push_back(
                {number, session.request().request, session.request().searcher, *session.result()});
        }
        if (session.finished() || session.ticket() != action.ticket) {
            action_by_ticket_.erase(action.ticket);
            action.ticket = session.ticket();
        }
        if (session.finished()) {
            deadlines_.erase({session.request().deadline, number});
            actions_.erase(number);
        } else if (action.ticket != 0) {
            action_by_ticket_.insert_or_assign(action.ticket, number);
        }
    }

    const Clock& clock_;
    Transport& transport_;
    Claims& claims_;
    session_policy policy_;
    action_number last_number_ = 0;
    std::unordered_map<action_number, std::unique_ptr<active_action>> actions_;
    std::unordered_map<claim_ticket, action_number> action_by_ticket_;
    std::set<std::pair<kernel::time_point, action_number>> deadlines_;
    std::vector<action_result> results_;
};

}  // namespace poplarfront::at_most_once
