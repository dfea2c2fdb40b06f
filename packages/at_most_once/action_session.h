#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <utility>

#include "at_most_once/claim.h"
#include "at_most_once/request_key.h"
#include "kernel/concepts.h"
#include "model/action.h"
#include "model/backend.h"

namespace poplarfront::at_most_once {

/// What became of an action that was sent, as the backend server replied or as the transport saw it
/// fail.
struct action_reply {
    model::request_id request;
    model::searcher_id searcher;
    model::attempt_status status = model::attempt_status::timed_out;
    std::string reply;
    friend auto operator<=>(const action_reply&, const action_reply&) = default;
};

/// Sends actions to backend servers. Returns at once; the reply is passed to the session.
template <class T>
concept action_transport = requires(T& transport, const model::action_request& action) {
    { transport.send(action) } -> std::same_as<void>;
};

/// The mechanisms that a guarantee rests on. Off only in tests, which show with it that they detect
/// the violation.
struct session_policy {
    /// Off: the action is sent without a claim.
    bool claim_before_send = true;
    /// Off: a claim that arrives after the deadline is acted on.
    bool check_deadline = true;
    /// Off: a lost connection counts as not executed.
    bool keep_claim_when_outcome_unknown = true;
    /// Off: replies to other requests are taken.
    bool match_replies = true;
    /// Off: keys of any age run.
    bool check_key_age = true;
    friend auto operator<=>(const session_policy&, const session_policy&) = default;
};

/// Runs one action on its home instance: claims it, sends it once, records the outcome, answers.
///
/// The result is always there by the deadline. Events after it are still used to end the claim, so
/// the owner keeps the session until finished().
///
/// Thread safety: used on one thread. Clock, transport and claims must outlive the session.
template <kernel::clock_source Clock, action_transport Transport, claim_service Claims>
class action_session {
public:
    action_session(const Clock& clock, Transport& transport, Claims& claims,
                   model::action_request request, session_policy policy = {})
        : clock_(clock),
          transport_(transport),
          claims_(claims),
          request_(std::move(request)),
          policy_(policy) {}

    /// Checks the key and claims the action. `now` is the wall clock.
    void start(wall_time now) {
        const auto key = request_key::create(request_.request_key);
        if (!key) {
            finish(model::action_status::not_run, "bad_request_key");
            return;
        }
        const auto validity = key.value().validity(now);
        if (policy_.check_key_age && validity != key_validity::valid) {
            finish(model::action_status::not_run, validity == key_validity::expired
                                                      ? "request_key_expired"
                                                      : "request_key_from_the_future");
            return;
        }
        if (clock_.now() >= request_.deadline) {
            finish(model::action_status::not_run, "deadline");
            return;
        }
        if (!policy_.claim_before_send) {
            send();
            return;
        }
        phase_ = phase::claiming;
        ticket_ = claims_.claim(
            {claim_key_of(request_.searcher, key.value()), key.value().issued(), request_.deadline},
            now);
    }

    /// Takes the end of a call of the claim table; one of another ticket is ignored.
    void on_claim_event(const claim_event& event) {
        if (event.ticket != ticket_) {
            return;
        }
        if (phase_ == phase::claiming) {
            on_claimed(event);
        } else if (phase_ == phase::recording) {
            phase_ = phase::finished;
            finish(recorded_);
        }
    }

    /// Takes the reply to the action that was sent; one that does not match it is ignored.
    void on_reply(const action_reply& reply) {
        const bool matches =
            reply.request == request_.request && reply.searcher == request_.searcher;
        if (phase_ != phase::sent || (policy_.match_replies && !matches)) {
            return;
        }
        if (reply.status == model::attempt_status::ok) {
            record({model::action_status::executed, reply.reply, ""});
        } else if (is_not_executed(reply.status)) {
            record(
                {model::action_status::not_run, "", std::string{model::to_string(reply.status)}});
        } else {
            phase_ = phase::finished;
            finish(model::action_status::unknown, std::string{model::to_string(reply.status)});
        }
    }

    /// Must be called when the time of next_timer() has come.
    void on_timer() {
        if (result_ || clock_.now() < request_.deadline) {
            return;
        }
        switch (phase_) {
            case phase::claiming:
                finish(model::action_status::not_run, "deadline");
                if (policy_.check_deadline) {
                    phase_ = phase::finished;
                    claims_.abandon(ticket_);
                }
                break;
            case phase::sent:
                finish(model::action_status::unknown, "deadline");
                break;
            case phase::recording:
                finish(recorded_);
                break;
            case phase::finished:
                break;
        }
    }

    [[nodiscard]] kernel::time_point next_timer() const { return request_.deadline; }

    /// The outcome, once there is one.
    [[nodiscard]] const std::optional<model::action_outcome>& result() const { return result_; }

    /// Whether no event can change anything any more. After a result the session waits for the
    /// reply to an action that was sent, which the transport gives in any case.
    [[nodiscard]] bool finished() const { return result_ && phase_ == phase::finished; }

    /// The ticket of the latest call of the claim table; 0 before the first.
    [[nodiscard]] claim_ticket ticket() const { return ticket_; }

    [[nodiscard]] const model::action_request& request() const { return request_; }

private:
    enum class phase { claiming, sent, recording, finished };

    void on_claimed(const claim_event& event) {
        phase_ = phase::finished;
        switch (event.status) {
            case claim_status::held:
                claim_ = event.claim;
                send_or_release();
                break;
            case claim_status::already_completed:
                finish({model::action_status::already_executed, event.reply, event.reason});
                break;
            case claim_status::in_progress:
                finish(model::action_status::unknown, "claimed_by_another_request");
                break;
            case claim_status::refused:
            case claim_status::recorded:
            case claim_status::not_recorded:
                finish(model::action_status::not_run, event.reason);
                break;
        }
    }

    /// A holder that was paused past the deadline must not send: it may have been answered for.
    void send_or_release() {
        if (policy_.check_deadline && clock_.now() >= request_.deadline) {
            claims_.release(*claim_);
            finish(model::action_status::not_run, "deadline");
            return;
        }
        send();
    }

    void send() {
        phase_ = phase::sent;
        transport_.send(request_);
    }

    [[nodiscard]] bool is_not_executed(model::attempt_status status) const {
        return model::certainly_not_executed(status) || !policy_.keep_claim_when_outcome_unknown;
    }

    /// Ends the claim in the store and answers after that.
    void record(model::action_outcome outcome) {
        recorded_ = std::move(outcome);
        if (!claim_) {
            phase_ = phase::finished;
            finish(recorded_);
            return;
        }
        phase_ = phase::recording;
        ticket_ = recorded_.status == model::action_status::executed
                      ? claims_.complete(*claim_, recorded_.reply)
                      : claims_.release(*claim_);
    }

    void finish(model::action_status status, std::string reason) {
        finish({status, "", std::move(reason)});
    }

    void finish(model::action_outcome outcome) {
        if (!result_) {
            result_ = std::move(outcome);
        }
    }

    const Clock& clock_;
    Transport& transport_;
    Claims& claims_;
    model::action_request request_;
    session_policy policy_;
    phase phase_ = phase::finished;
    claim_ticket ticket_ = 0;
    std::optional<held_claim> claim_;
    model::action_outcome recorded_;
    std::optional<model::action_outcome> result_;
};

}  // namespace poplarfront::at_most_once
