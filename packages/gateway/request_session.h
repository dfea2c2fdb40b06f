#pragma once

#include <algorithm>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/client_request.h"
#include "gateway/gateway_answer.h"
#include "gateway/shard_part.h"
#include "gateway/top_records.h"
#include "gateway/traffic_state.h"
#include "gateway/weighted_choice.h"

namespace poplarfront::gateway {

/// Numbers the attempts of one session from 0.
using attempt_number = std::uint32_t;

/// What a session needs to act.
template <class T>
concept session_transport = requires(T& transport, attempt_number attempt,
                                     const backend_entry& backend, kernel::time_point until,
                                     gateway_answer answer) {
    // Sends the request to a backend server, which stops work on it at `until`. The result
    // arrives later through request_session::on_result, never from within the call.
    { transport.send(attempt, backend, until) } -> std::same_as<void>;
    // Breaks an attempt off. No result follows.
    { transport.cancel(attempt) } -> std::same_as<void>;
    // Answers the client; called once.
    { transport.answer(std::move(answer)) } -> std::same_as<void>;
};

/// Decides what is done for one request: which backend servers get it, when a second copy is sent,
/// and when and how the client is answered. A request for one service is a request with one part.
///
/// Attempts may end after the answer; the session then learns from them only.
///
/// Thread safety: none; it belongs to one traffic thread.
template <session_transport Transport>
class request_session {
public:
    /// `limits`: what to keep to, for a request of another instance's client.
    /// Precondition: `view` has a configuration, and `route` is one of it. `state` and `transport`
    /// outlive the session.
    request_session(traffic_state& state, Transport& transport,
                    std::shared_ptr<const fleet_view> view, const route& route,
                    client_request request, std::optional<session_limits> limits = std::nullopt)
        : state_(state),
          transport_(transport),
          view_(std::move(view)),
          route_(route),
          request_(std::move(request)),
          limits_(limits ? *limits : state.limits_for(route, request_, gather_location::local)) {}

    ~request_session() { leave_wait_lists(); }
    request_session(const request_session&) = delete;
    request_session& operator=(const request_session&) = delete;

    void start(kernel::time_point now) {
        choose_parts();
        summary_.configuration_version = view_->configuration->version;
        summary_.shards = static_cast<std::uint32_t>(parts_.size());
        if (state_.quarantine().quarantined(request_.fingerprint, now)) {
            refuse("the request has crashed backend servers");
            return;
        }
        for (std::size_t it = 0; it < parts_.size(); ++it) {
            budget_of(parts_[it], now).on_primary(now);
            send_first(it, now);
            if (answered_) {
                return;
            }
        }
        evaluate(now);
    }

    /// Sets how many backend servers may get the request, for each shard.
    void set_max_attempts(std::uint32_t attempts) { limits_.max_attempts = attempts; }

    void on_result(attempt_number number, attempt_result result, kernel::time_point now) {
        auto& attempt = attempts_.at(number);
        if (!attempt.open) {
            return;
        }
        attempt.open = false;
        auto& part = parts_[attempt.part];
        --part.in_flight;
        learn(attempt, result, now);
        if (!answered_ && part.state == part_state::open) {
            take_result(attempt, std::move(result), now);
            evaluate(now);
        }
        state_.wake_one(part.service, now);
    }

    /// Takes the notice that the client has closed its connection.
    void on_client_disconnected(kernel::time_point now) {
        if (answered_) {
            return;
        }
        answered_ = true;
        leave_wait_lists();
        if (route_.kind == retry_safety::safe) {
            abandon_at_ = now + state_.options().cancel_delay;
        }
    }

    /// When on_timer is due; absent if nothing is to be done before the next result.
    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        if (answered_) {
            return abandon_at_;
        }
        auto next = limits_.final_deadline;
        if (is_gather() && !past_answer_time_) {
            next = std::min(next, limits_.partial_deadline);
        }
        if (refuse_at_) {
            next = std::min(next, *refuse_at_);
        }
        if (settle_at_) {
            next = std::min(next, *settle_at_);
        }
        for (const auto& part : parts_) {
            if (part.overdue_at) {
                next = std::min(next, *part.overdue_at);
            }
        }
        return next;
    }

    void on_timer(kernel::time_point now) {
        if (answered_) {
            abandon(now);
            return;
        }
        for (std::size_t it = 0; it < parts_.size(); ++it) {
            if (parts_[it].overdue_at && *parts_[it].overdue_at <= now) {
                hedge(it, now);
            }
        }
        evaluate(now);
    }

    [[nodiscard]] bool answered() const { return answered_; }
    /// When an incomplete gather is due; absent if the request was answered for another reason.
    [[nodiscard]] std::optional<kernel::time_point> expired_partial_deadline() const {
        return answered_at_partial_deadline_ ? std::optional{limits_.partial_deadline}
                                             : std::nullopt;
    }
    [[nodiscard]] bool is_gather() const { return plan() != nullptr; }
    [[nodiscard]] const client_request& request() const { return request_; }
    [[nodiscard]] const route& request_route() const { return route_; }
    [[nodiscard]] const request_summary& summary() const { return summary_; }

private:
    [[nodiscard]] const gather_plan* plan() const {
        return std::get_if<gather_plan>(&route_.target);
    }

    void choose_parts() {
        if (const auto* gather = plan()) {
            for (const auto& service : *gather->shards) {
                add_part(service);
            }
            return;
        }
        if (const auto* split = std::get_if<weighted_split>(&route_.target)) {
            add_part(choose_weighted(*split, kernel::uniform_unit(state_.random())));
            return;
        }
        add_part(std::get<model::service_id>(route_.target));
    }

    void add_part(const model::service_id& service) {
        shard_part part;
        part.service = service;
        part.backends = &view_->backends_of(service);
        parts_.push_back(std::move(part));
    }

    retry::retry_budget& budget_of(const shard_part& part, kernel::time_point now) {
        return state_.budget_of(part.service, *view_, now);
    }

    // Sending

    enum class send_outcome { sent, all_busy, none_left };

    void send_first(std::size_t index, kernel::time_point now) {
        switch (send(index, now)) {
            case send_outcome::sent:
                return;
            case send_outcome::all_busy:
                wait(index, now);
                return;
            case send_outcome::none_left:
                parts_[index].state = part_state::failed;
                return;
        }
    }

    /// Sends the request to a backend server of the part that has not had it.
    send_outcome send(std::size_t index, kernel::time_point now) {
        if (parts_[index].tried.size() >= limits_.max_attempts) {
            return send_outcome::none_left;
        }
        return send_among(index, now, [&](const backend_entry& backend) {
            return !parts_[index].was_tried(backend.id);
        });
    }

    /// Sends the request once more, if need be to a backend server that has had it.
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
    send_outcome send_among(std::size_t index, kernel::time_point now, const Predicate& may_get) {
        auto& part = parts_[index];
        const auto limit = state_.in_flight_limit(*view_, part.service);
        std::vector<routing::replica_candidate> candidates;
        std::vector<std::size_t> positions;
        bool busy = false;
        for (std::size_t it = 0; it < part.backends->size(); ++it) {
            const auto& backend = *(*part.backends)[it];
            if (!may_get(backend) || part.is_unreachable(backend.id) ||
                state_.replicas().draining(backend.id, now)) {
                continue;
            }
            if (state_.replicas().in_flight(backend.id) >= limit) {
                busy = true;
                continue;
            }
            candidates.push_back({&backend.id, cost_factor(backend, now)});
            positions.push_back(it);
        }
        const auto chosen = state_.replicas().choose_index(candidates, now);
        if (!chosen) {
            return busy ? send_outcome::all_busy : send_outcome::none_left;
        }
        send_to(index, (*part.backends)[positions[*chosen]], now);
        return send_outcome::sent;
    }

    [[nodiscard]] double cost_factor(const backend_entry& backend, kernel::time_point now) const {
        const auto& options = state_.options();
        const double far =
            backend.data_centre.text() == options.data_centre ? 1 : options.remote_cost;
        return now < backend.cold_until ? far * options.cold_cost : far;
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
        part.overdue_at = now + hedge_delay();
        const auto number = static_cast<attempt_number>(attempts_.size());
        attempts_.push_back({index, backend, now, true});
        state_.replicas().on_sent(backend->id);
        transport_.send(number, *backend, limits_.final_deadline);
    }

    [[nodiscard]] kernel::duration hedge_delay() {
        // Until latencies are known, connections are new, and a second copy would need another one.
        constexpr int objective_part = 2;
        const auto& options = state_.options();
        const auto delay = state_.statistics_of(route_).hedge_delay(
            options.hedge_quantile, route_.objective / objective_part);
        return std::max(delay, options.min_hedge_delay);
    }

    /// Sends a second copy to another backend server if that can be in time.
    void hedge(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        part.overdue_at.reset();
        if (part.state != part_state::open || part.in_flight == 0) {
            return;
        }
        note_overdue(index, now);
        const auto median_latency =
            state_.statistics_of(route_).median_latency(kernel::duration::zero());
        const bool too_late =
            is_gather() && coverage_suffices() && now + median_latency > limits_.partial_deadline;
        if (route_.kind != retry_safety::safe || too_late) {
            return;
        }
        const auto unanswered = parts_.size() - count(part_state::answered);
        if (!may_send_extra(part, unanswered, now)) {
            ++summary_.over_budget;
            return;
        }
        if (send(index, now) == send_outcome::sent) {
            budget_of(part, now).try_take_reserved(now);
            ++summary_.hedges;
            state_.counters().add("hedge_sent");
            part.overdue_at.reset();
        }
    }

    /// Whether the budget allows one more request for a part. Its reserve is for requests that fail
    /// if `at_risk` parts stay unanswered.
    [[nodiscard]] bool may_send_extra(const shard_part& part, std::size_t at_risk,
                                      kernel::time_point now) {
        const auto& budget = budget_of(part, now);
        const bool fails_without = parts_.size() - at_risk < needed_parts();
        return fails_without ? budget.available_reserved(now) : budget.available(now);
    }

    void note_overdue(std::size_t index, kernel::time_point now) {
        for (const auto& attempt : attempts_) {
            if (attempt.open && attempt.part == index) {
                state_.replicas().on_overdue(attempt.backend->id, normalised(now - attempt.sent_at),
                                             now);
            }
        }
    }

    // Waiting for a free connection

    void wait(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        if (part.entry_id) {
            return;
        }
        if (!is_gather()) {
            if (cannot_be_served(part, now)) {
                refuse("all backend servers are busy");
                return;
            }
            constexpr int objective_part = 4;
            refuse_at_ = request_.received + route_.objective / objective_part;
        }
        part.entry_id = state_.waiting().add(
            part.service, route_.priority,
            [this, index](kernel::time_point woken_at) { on_room(index, woken_at); });
    }

    /// Whether those that wait already take up the time that is left.
    [[nodiscard]] bool cannot_be_served(const shard_part& part, kernel::time_point now) {
        const auto median_latency =
            state_.statistics_of(route_).median_latency(kernel::duration::zero());
        const auto ahead = state_.waiting().size(part.service);
        const auto room = part.backends->size() * state_.in_flight_limit(*view_, part.service);
        const auto rounds =
            static_cast<kernel::duration::rep>(ahead / std::max<std::size_t>(1, room));
        return now + median_latency * (rounds + 2) > limits_.final_deadline;
    }

    void on_room(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        part.entry_id.reset();
        if (answered_ || part.state != part_state::open) {
            state_.wake_one(part.service, now);
            return;
        }
        refuse_at_.reset();
        if (now >= limits_.final_deadline) {
            return;
        }
        send_first(index, now);
        evaluate(now);
    }

    void leave_wait_lists() {
        for (auto& part : parts_) {
            if (part.entry_id) {
                state_.waiting().remove(part.service, *part.entry_id);
                part.entry_id.reset();
            }
        }
    }

    // Results

    /// Latencies of routes with different work are made comparable before they are kept for each
    /// backend server.
    [[nodiscard]] kernel::duration normalised(kernel::duration latency) {
        constexpr kernel::duration reference = std::chrono::milliseconds{10};
        const auto median_latency = state_.statistics_of(route_).median_latency(latency);
        const double relative =
            static_cast<double>(latency.count()) /
            static_cast<double>(std::max<kernel::duration::rep>(1, median_latency.count()));
        return kernel::duration{
            static_cast<kernel::duration::rep>(relative * static_cast<double>(reference.count()))};
    }

    void learn(const backend_attempt& attempt, const attempt_result& result,
               kernel::time_point now) {
        auto& replicas = state_.replicas();
        const auto& id = attempt.backend->id;
        const auto latency = now - attempt.sent_at;
        if (result.end != attempt_end::replied) {
            if (result.end == attempt_end::timed_out) {
                replicas.on_failed(id, now);
            } else {
                replicas.on_lost(id, now);
            }
            note_failure(attempt, to_string(result.end));
            return;
        }
        if (result.reply.misdirected) {
            replicas.on_failed(id, now);
            replicas.mark_draining(id, now);
            note_failure(attempt, "misdirected");
            return;
        }
        if (!result.reply.success()) {
            replicas.on_failed(id, now);
            note_failure(attempt, result.reply.executed ? "failure_status" : "not_executed");
            return;
        }
        state_.counters().add("success");
        replicas.on_answered(id, normalised(latency), load_of(result.reply), now);
        state_.statistics_of(route_).on_latency(latency);
    }

    static double load_of(const backend_reply& reply) {
        if (!reply.load) {
            return 0;
        }
        return static_cast<double>(reply.load->running + reply.load->waiting) / reply.load->slots;
    }

    void note_failure(const backend_attempt& attempt, std::string_view what) {
        state_.counters().add(what);
        summary_.last_failure = std::string{what} + "@" + attempt.backend->id.text();
    }

    void take_result(const backend_attempt& attempt, attempt_result result,
                     kernel::time_point now) {
        auto& part = parts_[attempt.part];
        if (result.end == attempt_end::replied && acceptable(result.reply)) {
            part.state = part_state::answered;
            part.overdue_at.reset();
            part.reply = std::move(result.reply);
            ++summary_.covered;
            state_.quarantine().on_complete_reply(request_.fingerprint);
            return;
        }
        const bool replied = result.end == attempt_end::replied;
        const bool executed = replied ? result.reply.executed : result.end != attempt_end::not_sent;
        part.may_have_run = part.may_have_run || executed;
        part.not_run_count += executed ? 0 : 1;
        if (!executed && (!replied || result.reply.misdirected)) {
            part.on_unreachable(attempt.backend->id);
        }
        if (result.end == attempt_end::lost && !symptom_noted_) {
            symptom_noted_ = true;
            state_.quarantine().on_crash_symptom(request_.fingerprint, attempt.backend->id, now);
        }
        if (replied && executed) {
            part.reply = std::move(result.reply);
        }
        if (part.in_flight > 0) {
            return;
        }
        if (is_gather() && replied && !executed && !result.reply.misdirected) {
            part.state = may_retry(part) ? part_state::refused : part_state::failed;
            settle_at_ = settle_at_ ? settle_at_ : now + state_.options().refusal_collection_time;
            return;
        }
        retry(attempt.part, executed || replied, now);
    }

    /// Whether a reply settles its part. A failure that a backend server reports is passed on only
    /// when nothing else can be tried.
    [[nodiscard]] bool acceptable(const backend_reply& reply) const {
        if (reply.success()) {
            return !is_gather() || !reply.signature.empty();
        }
        constexpr unsigned first_server_error = 500;
        return !is_gather() && reply.executed && reply.status < first_server_error;
    }

    void retry(std::size_t index, bool arrived, kernel::time_point now) {
        auto& part = parts_[index];
        if (!may_retry(part)) {
            part.state = part_state::failed;
            return;
        }
        if (arrived && !may_send_extra(part, lost_parts() + 1, now)) {
            ++summary_.over_budget;
            part.state = part_state::failed;
            return;
        }
        if (arrived) {
            resend(index, now);
            return;
        }
        send_first(index, now);
        summary_.retries += part.state == part_state::open ? 1 : 0;
    }

    [[nodiscard]] bool may_retry(const shard_part& part) const {
        // Refusals are no attempts, but a service that is full is not asked without end.
        constexpr std::uint32_t sends_per_attempt = 2;
        return part.send_count - part.not_run_count < limits_.max_attempts &&
               part.send_count < limits_.max_attempts * sends_per_attempt &&
               (route_.kind == retry_safety::safe || !part.may_have_run);
    }

    /// Sends refused parts again: as many as the request needs, if the budgets allow all of these,
    /// and further ones whose budgets are well filled.
    void settle(kernel::time_point now) {
        settle_at_.reset();
        const auto spare = parts_.size() - needed_parts();
        const auto needed = lost_parts() > spare ? lost_parts() - spare : 0;
        std::vector<std::size_t> affordable;
        for (std::size_t it = 0; it < parts_.size(); ++it) {
            if (parts_[it].state == part_state::refused &&
                budget_of(parts_[it], now).available_reserved(now)) {
                affordable.push_back(it);
            }
        }
        if (affordable.size() < needed) {
            summary_.over_budget += static_cast<std::uint32_t>(needed - affordable.size());
            return;
        }
        std::sort(affordable.begin(), affordable.end(), [&](auto a, auto b) {
            return budget_of(parts_[a], now).tokens() > budget_of(parts_[b], now).tokens();
        });
        std::size_t sent = 0;
        for (const auto it : affordable) {
            if (sent >= needed && !budget_of(parts_[it], now)
                                       .is_filled_to(state_.options().optional_retry_min_fill)) {
                return;
            }
            parts_[it].state = part_state::open;
            resend(it, now);
            ++sent;
        }
    }

    void resend(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        switch (send_again(index, now)) {
            case send_outcome::sent:
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

    [[nodiscard]] std::size_t count(part_state state) const {
        return static_cast<std::size_t>(std::count_if(
            parts_.begin(), parts_.end(), [&](const auto& it) { return it.state == state; }));
    }

    [[nodiscard]] std::size_t lost_parts() const {
        return count(part_state::failed) + count(part_state::refused);
    }

    [[nodiscard]] std::size_t needed_parts() const {
        const auto* gather = plan();
        const double least = gather == nullptr ? 1 : gather->min_coverage;
        // Products such as 0.89 * 100 may lie just above a whole number.
        constexpr double rounding = 1e-9;
        const auto parts = static_cast<double>(parts_.size());
        return std::max<std::size_t>(1,
                                     static_cast<std::size_t>(std::ceil(least * parts - rounding)));
    }

    [[nodiscard]] bool coverage_suffices() const {
        return count(part_state::answered) >= needed_parts();
    }

    void evaluate(kernel::time_point now) {
        if (answered_) {
            return;
        }
        // The first evaluation past the time is the one that the timer brought.
        const bool due_now = !past_answer_time_ && now >= limits_.partial_deadline;
        past_answer_time_ = past_answer_time_ || due_now;
        if (settle_at_ && now >= *settle_at_) {
            settle(now);
        }
        const auto covered = count(part_state::answered);
        const auto lost = lost_parts();
        const bool settled = covered + lost == parts_.size();
        const bool enough = covered >= needed_parts();
        if (enough && ((settled && !settle_at_) || (is_gather() && past_answer_time_))) {
            answered_at_partial_deadline_ = !settled && due_now;
            succeed();
            return;
        }
        if (parts_.size() - lost < needed_parts() && !settle_at_) {
            fail();
            return;
        }
        if (now >= limits_.final_deadline) {
            end_in_time();
            return;
        }
        if (refuse_at_ && now >= *refuse_at_ && nothing_ran()) {
            refuse("all backend servers are busy");
        }
    }

    [[nodiscard]] bool nothing_ran() const {
        return std::none_of(parts_.begin(), parts_.end(), [](const auto& it) {
            return it.may_have_run || it.in_flight > 0 || it.state == part_state::answered;
        });
    }

    void succeed() {
        if (!is_gather()) {
            pass_on(std::move(*parts_.front().reply));
            return;
        }
        gateway_answer answer;
        answer.kind = answer_kind::gathered;
        std::vector<std::string_view> bodies;
        for (const auto& part : parts_) {
            if (part.state == part_state::answered) {
                answer.signatures.push_back(part.reply->signature);
                bodies.emplace_back(part.reply->body);
            }
        }
        answer.missing = static_cast<std::uint32_t>(parts_.size() - bodies.size());
        answer.records = top_records(bodies, plan()->top_k);
        finish(std::move(answer));
    }

    void pass_on(backend_reply reply) {
        gateway_answer answer;
        if (reply.executed && reply.status_implies_not_run) {
            // The client would take the status for a promise that nobody has given.
            answer.kind = answer_kind::failed;
            answer.reason = "the backend server failed";
        } else {
            answer.kind = answer_kind::passed_on;
            answer.reply = std::move(reply);
        }
        finish(std::move(answer));
    }

    void fail() {
        auto& first = parts_.front();
        if (!is_gather() && first.reply) {
            pass_on(std::move(*first.reply));
            return;
        }
        end_without_reply(answer_kind::failed, "no backend server took the request",
                          is_gather() ? "too few shards answered" : "the reply was lost");
    }

    void end_in_time() {
        end_without_reply(answer_kind::timed_out, "no backend server was free in time",
                          is_gather() ? "too few shards answered in time" : "no reply in time");
    }

    void end_without_reply(answer_kind kind, std::string_view reason_if_not_run,
                           std::string_view reason) {
        if (nothing_ran()) {
            refuse(reason_if_not_run);
            return;
        }
        gateway_answer answer;
        answer.kind = kind;
        answer.reason = reason;
        finish(std::move(answer));
    }

    void refuse(std::string_view reason) {
        const auto& options = state_.options();
        const auto range = options.max_retry_after - options.min_retry_after;
        gateway_answer answer;
        answer.kind = answer_kind::not_run;
        answer.reason = reason;
        answer.retry_after =
            options.min_retry_after +
            kernel::duration{static_cast<kernel::duration::rep>(
                kernel::uniform_unit(state_.random()) * static_cast<double>(range.count()))};
        finish(std::move(answer));
    }

    void finish(gateway_answer answer) {
        answered_ = true;
        leave_wait_lists();
        answer.summary = summary_;
        transport_.answer(std::move(answer));
    }

    void abandon(kernel::time_point now) {
        if (!abandon_at_ || now < *abandon_at_) {
            return;
        }
        abandon_at_.reset();
        for (std::size_t it = 0; it < attempts_.size(); ++it) {
            auto& attempt = attempts_[it];
            if (attempt.open) {
                attempt.open = false;
                --parts_[attempt.part].in_flight;
                state_.replicas().on_cancelled(attempt.backend->id,
                                               normalised(now - attempt.sent_at), now);
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
    std::vector<shard_part> parts_;
    std::vector<backend_attempt> attempts_;
    session_limits limits_;
    std::optional<kernel::time_point> refuse_at_;
    std::optional<kernel::time_point> settle_at_;
    std::optional<kernel::time_point> abandon_at_;
    bool past_answer_time_ = false;
    bool answered_at_partial_deadline_ = false;
    bool symptom_noted_ = false;
    bool answered_ = false;
    request_summary summary_;
};

}  // namespace poplarfront::gateway
