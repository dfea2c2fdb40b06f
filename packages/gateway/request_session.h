#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/attempt_statistics.h"
#include "gateway/backend_choice.h"
#include "gateway/client_request.h"
#include "gateway/extra_attempts.h"
#include "gateway/request_answer.h"
#include "gateway/request_parts.h"
#include "gateway/request_trial.h"
#include "gateway/service_availability.h"
#include "gateway/traffic_state.h"

namespace poplarfront::gateway {

/// Index of an attempt among those of one session, from 0.
using attempt_number = std::uint32_t;

/// The operations that a request_session needs.
template <class T>
concept session_transport = requires(T& transport, attempt_number attempt,
                                     const backend_entry& backend, kernel::time_point deadline,
                                     gateway_answer answer, const std::function<void()>& call) {
    // Sends the request to a backend server, which stops working on it at `deadline`. The result
    // arrives through request_session::on_result after the call has returned.
    { transport.send(attempt, backend, deadline) } -> std::same_as<void>;
    // Opens a connection to the backend server of an attempt that has lost its own. The result
    // arrives through request_session::on_probe_result after the call has returned.
    { transport.probe(attempt, backend) } -> std::same_as<void>;
    // Cancels an attempt. No result follows.
    { transport.cancel(attempt) } -> std::same_as<void>;
    // Answers the client. Called at most once.
    { transport.answer(std::move(answer)) } -> std::same_as<void>;
    // Runs a call of the session that does not come from its owner. The session outlives the call,
    // even if the owner releases it when it is answered, and its timer is set again afterwards.
    { transport.call_session(call) } -> std::same_as<void>;
};

/// Coordinates one request: sends it to backend servers, hedges and retries it, and answers the
/// client. The rules are in classes of their own: request_parts (coverage), backend_choice (which
/// backend server), extra_attempts (hedges and retries), request_trial (crashes),
/// attempt_statistics and request_answer. A gather has one part per shard, any other request has a
/// single part.
///
/// The results of attempts that end after the answer only update the statistics.
///
/// Not thread-safe; used by one traffic thread.
template <session_transport Transport>
class request_session {
public:
    /// `limits`: the limits of a gather that another instance has delegated; absent for a request
    /// of this instance's client. Precondition: `view` has a configuration, and `route` belongs to
    /// it. `state` and `transport` outlive the session.
    request_session(traffic_state& state, Transport& transport,
                    std::shared_ptr<const fleet_view> view, const route& route,
                    client_request request, std::optional<session_limits> limits = std::nullopt)
        : state_(state),
          transport_(transport),
          view_(std::move(view)),
          route_(route),
          request_(std::move(request)),
          limits_(limits ? *limits : state.limits_for(route, request_, gather_location::local)),
          statistics_(state, route),
          trial_(state.quarantine(), request_.fingerprint, is_gather()) {}

    ~request_session() {
        leave_wait_lists();
        trial_.abandon_claim();
    }
    request_session(const request_session&) = delete;
    request_session& operator=(const request_session&) = delete;

    void start(kernel::time_point now) {
        parts_ = request_parts::create(route_, *view_, state_.random());
        summary_.configuration_version = view_->configuration->version;
        summary_.shards = static_cast<std::uint32_t>(parts_.size());
        if (!is_servable(parts_, state_, now)) {
            refuse_until_servable("too few backend servers take requests", now);
            return;
        }
        switch (state_.quarantine().admit(request_.fingerprint, now)) {
            case crash_quarantine::admission::allowed:
                send_unsent_parts(now);
                return;
            case crash_quarantine::admission::refused:
                send_permitted_parts(now);
                return;
            case crash_quarantine::admission::trial_due:
                claim_trial(now);
                return;
        }
    }

    /// Sets the maximum number of backend servers that get the request, for each shard.
    void set_max_attempts(std::uint32_t attempts) { limits_.max_attempts = attempts; }

    void on_result(attempt_number number, attempt_result result, kernel::time_point now) {
        auto& attempt = attempts_.at(number);
        if (!attempt.open) {
            return;
        }
        attempt.open = false;
        auto& part = parts_[attempt.part];
        --part.in_flight;
        if (auto failure = statistics_.on_result(attempt, result, now)) {
            summary_.last_failure = std::move(*failure);
        }
        const auto evidence = trial_.on_result(attempts_, number, result, now);
        if (evidence == request_trial::evidence::connection_lost) {
            transport_.probe(number, *attempt.backend);
        }
        if (!finished_ && part.state == part_state::open) {
            apply_result(attempt, std::move(result), now);
            if (evidence == request_trial::evidence::trial_survived) {
                continue_after_trial(now);
            }
            continue_after_probe(now);
            answer_if_settled(now);
        }
        state_.wake_one(part.service, now);
    }

    /// Handles the result of a probe.
    void on_probe_result(attempt_number number, bool accepts_connections, kernel::time_point now) {
        state_.counters().add(accepts_connections ? "probe_accepted" : "probe_refused");
        trial_.on_probe_result(attempts_, number, accepts_connections, now);
        if (!finished_) {
            continue_after_probe(now);
            answer_if_settled(now);
        }
    }

    /// Answers the request now, with what has been received so far, as if its final deadline had
    /// passed.
    void on_final_deadline(kernel::time_point now) {
        limits_.final_deadline = std::min(limits_.final_deadline, now);
        limits_.partial_deadline = std::min(limits_.partial_deadline, now);
        answer_if_settled(now);
    }

    /// Handles the end of the client's connection.
    void on_client_disconnected(kernel::time_point now) {
        if (finished_) {
            return;
        }
        trial_.leave(parts_.has_not_run(), attempts_, now);
        finished_ = true;
        leave_wait_lists();
        if (route_.kind == retry_safety::safe) {
            cancel_at_ = now + state_.options().cancel_delay;
        }
    }

    /// Time of the next on_timer call; absent if nothing is to be done before the next result.
    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        if (finished_) {
            return cancel_at_;
        }
        auto next = limits_.final_deadline;
        if (is_gather() && !partial_deadline_passed_) {
            next = std::min(next, limits_.partial_deadline);
        }
        if (wait_deadline_) {
            next = std::min(next, *wait_deadline_);
        }
        if (refusal_collection_end_) {
            next = std::min(next, *refusal_collection_end_);
        }
        for (const auto& part : parts_) {
            if (part.overdue_at) {
                next = std::min(next, *part.overdue_at);
            }
        }
        return next;
    }

    void on_timer(kernel::time_point now) {
        if (finished_) {
            cancel_open_attempts(now);
            return;
        }
        if (trial_.claimed() && wait_deadline_ && now >= *wait_deadline_) {
            trial_.abandon_claim();
            wait_deadline_.reset();
            send_permitted_parts(now);
            return;
        }
        for (std::size_t it = 0; it < parts_.size(); ++it) {
            if (parts_[it].overdue_at && *parts_[it].overdue_at <= now) {
                hedge(it, now);
            }
        }
        answer_if_settled(now);
    }

    /// Whether the client was answered or has disconnected.
    [[nodiscard]] bool finished() const { return finished_; }
    /// The partial deadline if its expiry caused the answer; absent otherwise.
    [[nodiscard]] std::optional<kernel::time_point> expired_partial_deadline() const {
        return answered_at_partial_deadline_ ? std::optional{limits_.partial_deadline}
                                             : std::nullopt;
    }
    [[nodiscard]] bool is_gather() const { return plan() != nullptr; }
    [[nodiscard]] const client_request& request() const { return request_; }
    /// The backend server of an attempt. Precondition: the attempt was sent.
    [[nodiscard]] const backend_entry& backend_of(attempt_number attempt) const {
        return *attempts_.at(attempt).backend;
    }
    [[nodiscard]] const route& request_route() const { return route_; }
    [[nodiscard]] const request_summary& summary() const { return summary_; }

private:
    [[nodiscard]] const gather_plan* plan() const {
        return std::get_if<gather_plan>(&route_.target);
    }

    [[nodiscard]] bool may_send_again(const request_part& part) const {
        return may_retry(part, limits_.max_attempts, route_.kind);
    }

    retry::retry_budget& budget_of(const request_part& part, kernel::time_point now) {
        return state_.budget_of(part.service, *view_, now);
    }

    // Trial of a quarantined request

    static constexpr std::string_view crashed_reason = "the request has crashed backend servers";

    void claim_trial(kernel::time_point now) {
        wait_deadline_ = now + state_.quarantine().options().trial_claim_timeout;
        trial_.claim([this](bool granted, kernel::time_point decided_at) {
            transport_.call_session([&] { on_trial_decision(granted, decided_at); });
        });
    }

    /// Sends the request to one backend server if the trial is granted, and refuses it otherwise.
    void on_trial_decision(bool granted, kernel::time_point now) {
        wait_deadline_.reset();
        if (!granted) {
            trial_.on_denied();
            send_permitted_parts(now);
            return;
        }
        trial_.on_granted(parts_);
        auto& part = parts_[trial_.part()];
        send_first(trial_.part(), now);
        if (part.state == part_state::failed) {
            trial_.end(crash_quarantine::trial_outcome::not_run, attempts_, now);
            part.started = false;
            send_permitted_parts(now);
        }
        answer_if_settled(now);
    }

    /// Suspends a part whose connection was lost, until probes show that enough of the backend
    /// servers have not crashed, or one suspended part has been retried. Only one such retry is
    /// made.
    void retry_after_trial(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        if (!may_send_again(part)) {
            part.state = part_state::failed;
            return;
        }
        if (!trial_.idle() || trial_.probing()) {
            part.state = part_state::suspended;
            return;
        }
        if (trial_.retry_ended()) {
            part.state = part_state::failed;
            return;
        }
        part.state = part_state::open;
        trial_.start_retry(index);
        retry(index, true, now);
        if (part.state == part_state::failed) {
            trial_.end(crash_quarantine::trial_outcome::not_run, attempts_, now);
        }
    }

    /// Sends the suspended parts if the request is no longer quarantined. Otherwise, the last probe
    /// starts the trial of one of them.
    void continue_after_probe(kernel::time_point now) {
        if (!trial_.idle() || parts_.count(part_state::suspended) == 0) {
            return;
        }
        if (!state_.quarantine().quarantined(request_.fingerprint)) {
            continue_after_trial(now);
            return;
        }
        for (std::size_t it = 0; it < parts_.size() && !trial_.probing(); ++it) {
            if (parts_[it].state == part_state::suspended) {
                retry_after_trial(it, now);
            }
        }
    }

    /// Sends the parts that have waited for the trial.
    void continue_after_trial(kernel::time_point now) {
        for (std::size_t it = 0; it < parts_.size() && !finished_; ++it) {
            if (parts_[it].state == part_state::suspended) {
                parts_[it].state = part_state::open;
                retry(it, true, now);
            }
        }
        send_unsent_parts(now);
    }

    /// Gives up the parts that have waited for the trial, and the part of the trial.
    void fail_after_trial() {
        for (std::size_t it = 0; it < parts_.size(); ++it) {
            auto& part = parts_[it];
            const bool unsent = part.state == part_state::open && !part.started;
            if (unsent || part.state == part_state::suspended || it == trial_.part()) {
                part.state = part_state::failed;
            }
        }
    }

    // Sending attempts

    void send_unsent_parts(kernel::time_point now) {
        for (std::size_t it = 0; it < parts_.size() && !finished_; ++it) {
            if (parts_[it].state == part_state::open && !parts_[it].started) {
                send_first(it, now);
            }
        }
        answer_if_settled(now);
    }

    /// Sends a quarantined request to the services that are known to execute it, or refuses it if
    /// these are too few.
    void send_permitted_parts(kernel::time_point now) {
        for (std::size_t it = 0; it < parts_.size(); ++it) {
            parts_[it].state = must_not_send(it) ? part_state::failed : part_state::open;
        }
        if (!parts_.can_succeed_without(parts_.failed_count())) {
            refuse(crashed_reason);
            return;
        }
        send_unsent_parts(now);
    }

    void send_first(std::size_t index, kernel::time_point now) {
        parts_[index].started = true;
        budget_of(parts_[index], now).on_primary(now);
        send_or_wait(index, now);
    }

    [[nodiscard]] bool must_not_send(std::size_t index) const {
        return trial_.forbids(index, parts_[index].service);
    }

    using send_outcome = backend_choice::outcome;

    void send_or_wait(std::size_t index, kernel::time_point now) {
        switch (send(index, now)) {
            case send_outcome::chosen:
                return;
            case send_outcome::all_busy:
                wait(index, now);
                return;
            case send_outcome::none_left:
                parts_[index].state = part_state::failed;
                return;
        }
    }

    /// Sends the request to a backend server of the part that was not tried yet.
    send_outcome send(std::size_t index, kernel::time_point now) {
        if (parts_[index].tried.size() >= limits_.max_attempts) {
            return send_outcome::none_left;
        }
        return send_among(index, now, [&](const backend_entry& backend) {
            return !parts_[index].was_tried(backend.id);
        });
    }

    /// As `send`, but falls back to a backend server that was tried before.
    send_outcome send_again(std::size_t index, kernel::time_point now) {
        const auto outcome = send(index, now);
        if (outcome != send_outcome::none_left) {
            return outcome;
        }
        return send_among(index, now, [&](const backend_entry& backend) {
            return parts_[index].was_tried(backend.id);
        });
    }

    template <std::predicate<const backend_entry&> Predicate>
    send_outcome send_among(std::size_t index, kernel::time_point now,
                            const Predicate& is_candidate) {
        if (must_not_send(index)) {
            return send_outcome::none_left;
        }
        const auto choice =
            choose_backend(parts_[index], *view_, state_, now, [&](const backend_entry& backend) {
                return is_candidate(backend) && !trial_.is_unfit(backend, state_.replicas(), now);
            });
        if (choice.result == send_outcome::chosen) {
            send_to(index, choice.backend, now);
        }
        return choice.result;
    }

    void send_to(std::size_t index, const std::shared_ptr<const backend_entry>& backend,
                 kernel::time_point now) {
        auto& part = parts_[index];
        if (!part.was_tried(backend->id)) {
            part.tried.push_back(backend->id);
        }
        ++part.send_count;
        ++part.in_flight;
        ++summary_.attempts;
        part.overdue_at = now + statistics_.hedge_delay();
        const auto number = static_cast<attempt_number>(attempts_.size());
        attempts_.push_back({index, backend, now, true});
        state_.replicas().on_sent(backend->id);
        transport_.send(number, *backend, limits_.final_deadline);
    }

    /// Records the overdue attempts of a part and sends one more if the route and the budget allow
    /// it, unless the gather would be answered before its reply.
    void hedge(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        part.overdue_at.reset();
        if (part.state != part_state::open || part.in_flight == 0) {
            return;
        }
        statistics_.on_overdue(attempts_, index, now);
        if (trial_.includes(index)) {
            return;
        }
        const bool reply_too_late = is_gather() && parts_.coverage_suffices() &&
                                    now + statistics_.median_latency() > limits_.partial_deadline;
        if (route_.kind != retry_safety::safe || reply_too_late) {
            return;
        }
        const auto unanswered = parts_.size() - parts_.answered_count();
        if (!allows_extra(budget_of(part, now), parts_, unanswered, now)) {
            ++summary_.over_budget;
            return;
        }
        if (send(index, now) == send_outcome::chosen) {
            budget_of(part, now).try_take_reserved(now);
            ++summary_.hedges;
            state_.counters().add("hedge_sent");
            part.overdue_at.reset();
        }
    }

    // Waiting for a free connection

    void wait(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        if (part.wait_list_entry) {
            return;
        }
        if (!is_gather()) {
            if (would_miss_deadline(part, now)) {
                refuse("all backend servers are busy");
                return;
            }
            constexpr int objective_divisor = 4;
            wait_deadline_ = request_.received + route_.objective / objective_divisor;
        }
        part.wait_list_entry = state_.waiting().add(
            part.service, route_.priority, [this, index](kernel::time_point woken_at) {
                // The session may be released at the end of this call.
                bool used = false;
                transport_.call_session([&] { used = on_connection_free(index, woken_at); });
                return used;
            });
    }

    /// Whether a request that starts to wait now would probably be answered after the final
    /// deadline. One median latency is added for the requests in flight and one for the request
    /// itself.
    [[nodiscard]] bool would_miss_deadline(const request_part& part, kernel::time_point now) {
        const auto ahead = state_.waiting().size(part.service);
        const auto capacity = part.backends->size() * state_.in_flight_limit(*view_, part.service);
        const auto rounds =
            static_cast<kernel::duration::rep>(ahead / std::max<std::size_t>(1, capacity));
        return now + statistics_.median_latency() * (rounds + 2) > limits_.final_deadline;
    }

    /// Returns whether the part was sent or waits again.
    bool on_connection_free(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        part.wait_list_entry.reset();
        if (finished_ || part.state != part_state::open) {
            return false;
        }
        wait_deadline_.reset();
        if (now >= limits_.final_deadline) {
            return false;
        }
        const auto sent_before = part.send_count;
        send_or_wait(index, now);
        const bool used = part.send_count > sent_before || part.wait_list_entry.has_value();
        answer_if_settled(now);
        return used;
    }

    void leave_wait_lists() {
        for (auto& part : parts_) {
            if (part.wait_list_entry) {
                state_.waiting().remove(part.service, *part.wait_list_entry);
                part.wait_list_entry.reset();
            }
        }
    }

    // Results of attempts

    void apply_result(const backend_attempt& attempt, attempt_result result,
                      kernel::time_point now) {
        // A copy, since a retry adds an attempt and may move the others.
        const auto index = attempt.part;
        auto& part = parts_[index];
        if (result.end == attempt_end::replied && is_final(result.reply, plan())) {
            part.state = part_state::answered;
            part.overdue_at.reset();
            part.reply = std::move(result.reply);
            if (const auto* gather = plan()) {
                drop_surplus_records(*part.reply, *gather);
            }
            ++summary_.covered;
            return;
        }
        const bool replied = result.end == attempt_end::replied;
        const bool executed = replied ? result.reply.executed : result.end != attempt_end::not_sent;
        part.may_have_run = part.may_have_run || executed;
        part.not_run_count += executed ? 0 : 1;
        const bool unreachable = !executed && (!replied || result.reply.misdirected);
        if (unreachable) {
            part.on_unreachable(attempt.backend->id);
        }
        if (trial_.includes(index) && !(trial_.retrying() && unreachable)) {
            trial_.end(executed ? crash_quarantine::trial_outcome::failed
                                : crash_quarantine::trial_outcome::not_run,
                       attempts_, now);
            fail_after_trial();
            return;
        }
        if (replied && executed && !is_gather()) {
            part.reply = std::move(result.reply);
        }
        if (part.in_flight > 0) {
            return;
        }
        if (is_gather() && replied && !executed && !result.reply.misdirected) {
            part.state = may_send_again(part) ? part_state::refused : part_state::failed;
            refusal_collection_end_ = refusal_collection_end_
                                          ? refusal_collection_end_
                                          : now + state_.options().refusal_collection_time;
            return;
        }
        if (result.end == attempt_end::lost && must_not_send(index)) {
            retry_after_trial(index, now);
            return;
        }
        retry(index, executed || replied, now);
        if (trial_.includes(index) && part.state == part_state::failed) {
            trial_.end(crash_quarantine::trial_outcome::not_run, attempts_, now);
            fail_after_trial();
        }
    }

    void retry(std::size_t index, bool delivered, kernel::time_point now) {
        auto& part = parts_[index];
        if (!may_send_again(part)) {
            part.state = part_state::failed;
            return;
        }
        if (delivered &&
            !allows_extra(budget_of(part, now), parts_, parts_.failed_count() + 1, now)) {
            ++summary_.over_budget;
            part.state = part_state::failed;
            return;
        }
        if (delivered) {
            retry_part(index, now);
            return;
        }
        send_or_wait(index, now);
        summary_.retries += part.state == part_state::open ? 1 : 0;
    }

    /// Retries refused parts: as many as the minimum coverage needs, provided that the budgets
    /// allow all of these, and further parts whose budgets are filled to `optional_retry_min_fill`.
    void retry_refused_parts(kernel::time_point now) {
        refusal_collection_end_.reset();
        const auto needed = needed_retries(parts_);
        const auto within_budget = refused_parts_within_budget(
            parts_,
            [&](const request_part& part) -> const retry::retry_budget& {
                return budget_of(part, now);
            },
            [&](const request_part& part) { return is_servable(part, state_, now); }, now);
        if (within_budget.size() < needed) {
            summary_.over_budget += static_cast<std::uint32_t>(needed - within_budget.size());
            return;
        }
        std::size_t sent = 0;
        for (const auto it : within_budget) {
            if (sent >= needed && !budget_of(parts_[it], now)
                                       .is_filled_to(state_.options().optional_retry_min_fill)) {
                return;
            }
            parts_[it].state = part_state::open;
            retry_part(it, now);
            ++sent;
        }
    }

    void retry_part(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        switch (send_again(index, now)) {
            case send_outcome::chosen:
                ++summary_.retries;
                state_.counters().add("retry_sent");
                budget_of(part, now).try_take_reserved(now);
                return;
            case send_outcome::all_busy:
                wait(index, now);
                return;
            case send_outcome::none_left:
                part.state = part_state::failed;
                return;
        }
    }

    // Answering

    /// Retries refused parts when their collection time is over. Answers the request if all parts
    /// are settled, it can no longer succeed, or a deadline has passed.
    void answer_if_settled(kernel::time_point now) {
        if (!finished_) {
            answer_or_continue(now);
        }
        if (finished_) {
            trial_.leave(parts_.has_not_run(), attempts_, now);
        }
    }

    void answer_or_continue(kernel::time_point now) {
        // An answer counts as caused by the expiry of the partial deadline only in the first call
        // after it.
        const bool expired_now = !partial_deadline_passed_ && now >= limits_.partial_deadline;
        partial_deadline_passed_ = partial_deadline_passed_ || expired_now;
        if (refusal_collection_end_ && now >= *refusal_collection_end_) {
            retry_refused_parts(now);
        }
        const auto failed = parts_.failed_count();
        const bool all_settled = parts_.answered_count() + failed == parts_.size();
        if (parts_.coverage_suffices() && ((all_settled && !refusal_collection_end_) ||
                                           (is_gather() && partial_deadline_passed_))) {
            answered_at_partial_deadline_ = !all_settled && expired_now;
            succeed();
            return;
        }
        if (!parts_.can_succeed_without(failed) && !refusal_collection_end_) {
            fail(now);
            return;
        }
        if (now >= limits_.final_deadline) {
            time_out(now);
            return;
        }
        if (wait_deadline_ && now >= *wait_deadline_ && parts_.has_not_run()) {
            refuse("all backend servers are busy");
        }
    }

    void succeed() {
        const auto* gather = plan();
        finish(gather == nullptr ? forwarded_answer(std::move(*parts_[0].reply))
                                 : gathered_answer(parts_, *gather));
    }

    void fail(kernel::time_point now) {
        auto& first = parts_[0];
        if (!is_gather() && first.reply) {
            finish(forwarded_answer(std::move(*first.reply)));
            return;
        }
        answer_without_reply(
            answer_kind::failed, "no backend server accepted the request",
            is_gather() ? "too few shards answered" : "no reply from a backend server", now);
    }

    void time_out(kernel::time_point now) {
        answer_without_reply(answer_kind::timed_out, "no backend server was free in time",
                             is_gather() ? "too few shards answered in time" : "no reply in time",
                             now);
    }

    void answer_without_reply(answer_kind kind, std::string_view reason_if_not_run,
                              std::string_view reason, kernel::time_point now) {
        if (parts_.has_not_run()) {
            refuse_until_servable(reason_if_not_run, now);
        } else {
            finish(failed_answer(kind, reason));
        }
    }

    void refuse(std::string_view reason, kernel::duration min_wait = kernel::duration::zero()) {
        finish(refused_answer(reason, min_wait, state_.options(), state_.random()));
    }

    /// Refuses the request. If its services have announced pauses, the client may return after
    /// them.
    void refuse_until_servable(std::string_view reason, kernel::time_point now) {
        refuse(reason, time_until_servable(parts_, state_, now));
    }

    void finish(gateway_answer answer) {
        finished_ = true;
        leave_wait_lists();
        answer.summary = summary_;
        transport_.answer(std::move(answer));
    }

    void cancel_open_attempts(kernel::time_point now) {
        if (!cancel_at_ || now < *cancel_at_) {
            return;
        }
        cancel_at_.reset();
        for (std::size_t it = 0; it < attempts_.size(); ++it) {
            auto& attempt = attempts_[it];
            if (attempt.open) {
                attempt.open = false;
                --parts_[attempt.part].in_flight;
                statistics_.on_cancelled(attempt, now);
                transport_.cancel(static_cast<attempt_number>(it));
                state_.wake_one(parts_[attempt.part].service, now);
            }
        }
    }

    traffic_state& state_;
    Transport& transport_;
    std::shared_ptr<const fleet_view> view_;
    const route& route_;
    client_request request_;
    /// Empty until start(), which is not called if the request is delegated.
    request_parts parts_;
    std::vector<backend_attempt> attempts_;
    session_limits limits_;
    attempt_statistics statistics_;
    request_trial trial_;
    std::optional<kernel::time_point> wait_deadline_;
    std::optional<kernel::time_point> refusal_collection_end_;
    std::optional<kernel::time_point> cancel_at_;
    bool partial_deadline_passed_ = false;
    bool answered_at_partial_deadline_ = false;
    /// Whether the client was answered or has disconnected.
    bool finished_ = false;
    request_summary summary_;
};

}  // namespace poplarfront::gateway
