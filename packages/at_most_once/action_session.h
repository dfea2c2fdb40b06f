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

/// The backend server's reply to an action, or the failure that the transport observed.
struct action_reply {
    model::request_id request;
    model::searcher_id searcher;
    model::attempt_status status = model::attempt_status::timed_out;
    std::string reply;
    friend auto operator<=>(const action_reply&, const action_reply&) = default;
};

/// Sends actions to backend servers. `send` does not block; the reply is passed to
/// action_session::on_reply.
template <class T>
concept action_transport = requires(T& transport, const model::action_request& action) {
    { transport.send(action) } -> std::same_as<void>;
};

/// Switches for the checks that at-most-once execution depends on. Tests disable a switch to verify
/// that the simulation detects the resulting violation; production code leaves all of them enabled.
struct session_policy {
    /// If false, the action is sent without a claim.
    bool claim_before_send = true;
    /// If false, the action is sent even if the claim is granted after the deadline.
    bool check_deadline = true;
    /// If false, a lost connection or a time-out counts as not executed.
    bool keep_claim_when_outcome_unknown = true;
    /// If false, replies to other requests are accepted.
    bool match_replies = true;
    /// If false, keys of any age are accepted.
    bool check_key_age = true;
    friend auto operator<=>(const session_policy&, const session_policy&) = default;
};

/// State machine that runs one action on its home instance: claims it, sends it once, records the
/// outcome and then provides the result.
///
/// The result is available by the deadline. Later events still complete or release the claim, so
/// the owner must keep the session until finished().
///
/// Thread safety: used on one thread. `clock`, `transport` and `claims` must outlive the session.
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

    /// Checks the request key and claims the action. `now` is the wall-clock time.
    void start(wall_time now) {
        const auto key = request_key::create(request_.request_key);
        if (!key) {
            set_result(model::action_status::not_run, "bad_request_key");
            return;
        }
        const auto validity = key.value().validity(now);
        if (policy_.check_key_age && validity != key_validity::valid) {
            set_result(model::action_status::not_run, validity == key_validity::expired
                                                          ? "request_key_expired"
                                                          : "request_key_from_the_future");
            return;
        }
        if (clock_.now() >= request_.deadline) {
            set_result(model::action_status::not_run, "deadline");
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

    /// Handles the result of a claim table call. Events of other tickets are ignored.
    void on_claim_event(const claim_event& event) {
        if (event.ticket != ticket_) {
            return;
        }
        if (phase_ == phase::claiming) {
            on_claimed(event);
        } else if (phase_ == phase::recording) {
            phase_ = phase::finished;
            set_result(outcome_to_record_);
        }
    }

    /// Handles the reply to the action that was sent. Replies to other requests are ignored.
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
            set_result(model::action_status::unknown, std::string{model::to_string(reply.status)});
        }
    }

    /// Must be called when the time next_timer() is reached.
    void on_timer() {
        if (result_ || clock_.now() < request_.deadline) {
            return;
        }
        switch (phase_) {
            case phase::claiming:
                set_result(model::action_status::not_run, "deadline");
                if (policy_.check_deadline) {
                    phase_ = phase::finished;
                    claims_.abandon(ticket_);
                }
                break;
            case phase::sent:
                set_result(model::action_status::unknown, "deadline");
                break;
            case phase::recording:
                set_result(outcome_to_record_);
                break;
            case phase::finished:
                break;
        }
    }

    [[nodiscard]] kernel::time_point next_timer() const { return request_.deadline; }

    /// The outcome; empty until it is known.
    [[nodiscard]] const std::optional<model::action_outcome>& result() const { return result_; }

    /// Whether the session needs no further events and may be destroyed. A session that has a
    /// result may still wait for the reply to the action it sent; the transport always delivers
    /// a reply or a failure.
    [[nodiscard]] bool finished() const { return result_ && phase_ == phase::finished; }

    /// The ticket of the latest claim table call whose result on_claim_event handles; 0 before the
    /// first call.
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
                set_result({model::action_status::already_executed, event.reply, event.reason});
                break;
            case claim_status::in_progress:
                set_result(model::action_status::unknown, "claimed_by_another_request");
                break;
            case claim_status::refused:
            case claim_status::recorded:
            case claim_status::not_recorded:
                set_result(model::action_status::not_run, event.reason);
                break;
        }
    }

    /// An instance that was paused past the deadline must not send the action: the request may
    /// already have been answered.
    void send_or_release() {
        if (policy_.check_deadline && clock_.now() >= request_.deadline) {
            claims_.release(*claim_);
            set_result(model::action_status::not_run, "deadline");
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

    /// Completes or releases the claim. The result is provided when that call has ended or at the
    /// deadline, whichever is first, and at once if there is no claim.
    void record(model::action_outcome outcome) {
        outcome_to_record_ = std::move(outcome);
        if (!claim_) {
            phase_ = phase::finished;
            set_result(outcome_to_record_);
            return;
        }
        phase_ = phase::recording;
        ticket_ = outcome_to_record_.status == model::action_status::executed
                      ? claims_.complete(*claim_, outcome_to_record_.reply)
                      : claims_.release(*claim_);
    }

    void set_result(model::action_status status, std::string reason) {
        set_result({status, "", std::move(reason)});
    }

    void set_result(model::action_outcome outcome) {
        if (!result_) {
            result_ = std::move(outcome);
        }
    }

    const Clock& clock_;
    Transport& transport_;
    Claims& claims_;
    model::action_request request_;
    session_policy policy_;
    /// Stays `finished` if start() rejects the action.
    phase phase_ = phase::finished;
    claim_ticket ticket_ = 0;
    std::optional<held_claim> claim_;
    model::action_outcome outcome_to_record_;
    std::optional<model::action_outcome> result_;
};

}  // namespace poplarfront::at_most_once
