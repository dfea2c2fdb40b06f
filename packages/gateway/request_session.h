#pragma once

#include <algorithm>
#include <cmath>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/client_request.h"
#include "gateway/gateway_answer.h"
#include "gateway/request_part.h"
#include "gateway/service_availability.h"
#include "gateway/top_records.h"
#include "gateway/traffic_state.h"
#include "gateway/weighted_choice.h"

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

/// Makes the decisions for one request: which backend servers it is sent to, when it is hedged or
/// retried, and when and how the client is answered. A gather has one part per shard, any other
/// request has a single part.
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
          limits_(limits ? *limits : state.limits_for(route, request_, gather_location::local)) {}

    ~request_session() {
        leave_wait_lists();
        abandon_trial_claim();
    }
    request_session(const request_session&) = delete;
    request_session& operator=(const request_session&) = delete;

    void start(kernel::time_point now) {
        create_parts();
        summary_.configuration_version = view_->configuration->version;
        summary_.shards = static_cast<std::uint32_t>(parts_.size());
        if (servable_part_count(parts_, state_, now) < needed_part_count()) {
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
        record_result(attempt, result, now);
        const bool trial_survived = record_crash_evidence(number, result, now);
        if (!finished_ && part.state == part_state::open) {
            apply_result(attempt, std::move(result), now);
            if (trial_survived) {
                continue_after_trial(now);
            }
            continue_after_probe(now);
            answer_if_settled(now);
        }
        state_.wake_one(part.service, now);
    }

    /// Handles the result of a probe.
    void on_probe_result(attempt_number number, bool accepts_connections, kernel::time_point now) {
        --open_probes_;
        state_.counters().add(accepts_connections ? "probe_accepted" : "probe_refused");
        attempts_.at(number).accepts_connections = accepts_connections;
        disprove_resets(now);
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
        leave_trial(now);
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
        if (trial_ == trial_state::claimed && wait_deadline_ && now >= *wait_deadline_) {
            abandon_trial_claim();
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

    void create_parts() {
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
        request_part part;
        part.service = service;
        part.backends = &view_->backends_of(service);
        parts_.push_back(std::move(part));
    }

    retry::retry_budget& budget_of(const request_part& part, kernel::time_point now) {
        return state_.budget_of(part.service, *view_, now);
    }

    // Trial of a quarantined request

    enum class trial_state {
        none,
        claimed,
        /// The trial of a quarantined request, granted to this instance.
        running,
        /// Several connections were lost in this request itself, so that it counts as quarantined.
        /// One part is retried before the others.
        retrying,
    };

    [[nodiscard]] bool is_trial(std::size_t part) const {
        return part == trial_part_ &&
               (trial_ == trial_state::running || trial_ == trial_state::retrying);
    }

    static constexpr std::string_view crashed_reason = "the request has crashed backend servers";

    void claim_trial(kernel::time_point now) {
        trial_ = trial_state::claimed;
        wait_deadline_ = now + state_.quarantine().options().trial_claim_timeout;
        state_.quarantine().claim_trial(
            request_.fingerprint, [this](bool granted, kernel::time_point decided_at) {
                transport_.call_session([&] { on_trial_decision(granted, decided_at); });
            });
    }

    /// Sends the request to one backend server if the trial is granted, and refuses it otherwise.
    void on_trial_decision(bool granted, kernel::time_point now) {
        wait_deadline_.reset();
        if (!granted) {
            trial_ = trial_state::none;
            send_permitted_parts(now);
            return;
        }
        trial_ = trial_state::running;
        const auto suspected_part = std::find_if(parts_.begin(), parts_.end(), [&](const auto& it) {
            return state_.quarantine().suspected_at(request_.fingerprint, it.service);
        });
        trial_part_ = suspected_part == parts_.end()
                          ? std::size_t{0}
                          : static_cast<std::size_t>(suspected_part - parts_.begin());
        send_first(trial_part_, now);
        if (parts_[trial_part_].state == part_state::failed) {
            end_trial(crash_quarantine::trial_outcome::not_run, now);
            parts_[trial_part_].started = false;
            send_permitted_parts(now);
        }
        answer_if_settled(now);
    }

    [[nodiscard]] bool is_unfit_for_trial(const backend_entry& backend,
                                          kernel::time_point now) const {
        return trial_ == trial_state::running &&
               state_.replicas().lost_within(backend.id,
                                             state_.quarantine().options().unfit_after_loss, now);
    }

    /// Suspends a part whose connection was lost, until probes show that enough of the backend
    /// servers have not crashed, or one suspended part has been retried. Only one such retry is
    /// made.
    void retry_after_trial(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        if (!may_retry(part)) {
            part.state = part_state::failed;
            return;
        }
        if (trial_ != trial_state::none || open_probes_ > 0) {
            part.state = part_state::suspended;
            return;
        }
        if (retry_trial_ended_) {
            part.state = part_state::failed;
            return;
        }
        part.state = part_state::open;
        trial_ = trial_state::retrying;
        trial_part_ = index;
        retry(index, true, now);
        if (part.state == part_state::failed) {
            end_trial(crash_quarantine::trial_outcome::not_run, now);
        }
    }

    void end_trial(crash_quarantine::trial_outcome outcome, kernel::time_point now) {
        if (trial_ == trial_state::retrying) {
            retry_trial_ended_ = true;
        }
        if (trial_ == trial_state::retrying &&
            outcome == crash_quarantine::trial_outcome::survived) {
            std::set<crash_record> crashes;
            for (const auto& it : attempts_) {
                if (it.lost) {
                    crashes.insert(crash_record_of(request_.fingerprint, *it.backend));
                }
            }
            state_.quarantine().on_disproved(request_.fingerprint, crashes, now);
        }
        trial_ = trial_state::none;
        state_.quarantine().on_trial_ended(request_.fingerprint, outcome, now);
    }

    /// Revokes the crashes of a gather whose connections were reset: the backend servers accept new
    /// ones, and at least as many others have executed the request. A request that crashes backend
    /// servers does so at all that execute it. A connection alone shows little, since it may be
    /// accepted on behalf of a process that has crashed.
    void disprove_resets(kernel::time_point now) {
        if (!is_gather() || lost_count_ == 0) {
            return;
        }
        const auto executed = std::count_if(attempts_.begin(), attempts_.end(),
                                            [](const auto& it) { return it.executed; });
        if (executed < lost_count_) {
            return;
        }
        std::set<crash_record> resets;
        for (auto& it : attempts_) {
            if (it.lost && it.accepts_connections) {
                it.lost = false;
                resets.insert(crash_record_of(request_.fingerprint, *it.backend));
            }
        }
        if (!resets.empty()) {
            state_.quarantine().on_disproved(request_.fingerprint, resets, now);
        }
    }

    /// Sends the suspended parts if the request is no longer quarantined. Otherwise, the last probe
    /// starts the trial of one of them.
    void continue_after_probe(kernel::time_point now) {
        if (trial_ != trial_state::none || count(part_state::suspended) == 0) {
            return;
        }
        if (!state_.quarantine().quarantined(request_.fingerprint)) {
            continue_after_trial(now);
            return;
        }
        for (std::size_t it = 0; it < parts_.size() && open_probes_ == 0; ++it) {
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
            if (unsent || part.state == part_state::suspended || it == trial_part_) {
                part.state = part_state::failed;
            }
        }
    }

    void abandon_trial_claim() {
        if (trial_ == trial_state::claimed) {
            trial_ = trial_state::none;
            state_.quarantine().abandon_trial(request_.fingerprint);
        }
    }

    /// Ends a trial that has no result when the request ends.
    void leave_trial(kernel::time_point now) {
        abandon_trial_claim();
        if (trial_ != trial_state::none) {
            end_trial(has_not_run() ? crash_quarantine::trial_outcome::not_run
                                    : crash_quarantine::trial_outcome::failed,
                      now);
        }
    }

    /// Records whether the backend server has survived the request, also after the answer. Returns
    /// whether this was the successful trial of the request.
    bool record_crash_evidence(attempt_number number, const attempt_result& result,
                               kernel::time_point now) {
        auto& attempt = attempts_.at(number);
        auto& quarantine = state_.quarantine();
        if (result.end == attempt_end::lost) {
            attempt.lost = true;
            ++lost_count_;
            quarantine.on_crash(crash_record_of(request_.fingerprint, *attempt.backend), now);
            ++open_probes_;
            transport_.probe(number, *attempt.backend);
            return false;
        }
        if (result.end != attempt_end::replied || result.reply.misdirected) {
            return false;
        }
        quarantine.on_reply(*attempt.backend, now);
        if (!result.reply.executed) {
            return false;
        }
        quarantine.on_executed(request_.fingerprint, attempt.backend->service, now);
        attempt.executed = true;
        disprove_resets(now);
        const bool is_successful_trial = is_trial(attempt.part);
        if (is_successful_trial) {
            end_trial(crash_quarantine::trial_outcome::survived, now);
        }
        return is_successful_trial;
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
        if (parts_.size() - failed_part_count() < needed_part_count()) {
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

    /// Whether the quarantine forbids that the request is sent for a part.
    [[nodiscard]] bool must_not_send(std::size_t index) const {
        const auto& quarantine = state_.quarantine();
        return !is_trial(index) && quarantine.quarantined(request_.fingerprint) &&
               !quarantine.known_to_execute(request_.fingerprint, parts_[index].service);
    }

    enum class send_outcome { sent, all_busy, none_left };

    void send_or_wait(std::size_t index, kernel::time_point now) {
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
        auto& part = parts_[index];
        const auto limit = state_.in_flight_limit(*view_, part.service);
        std::vector<routing::replica_candidate> candidates;
        std::vector<std::size_t> positions;
        bool busy = false;
        for (std::size_t it = 0; it < part.backends->size(); ++it) {
            const auto& backend = *(*part.backends)[it];
            const auto availability = state_.notices().availability_of(backend, now);
            if (!is_candidate(backend) || part.is_unreachable(backend.id) ||
                availability == backend_availability::none ||
                state_.replicas().draining(backend.id, now) || is_unfit_for_trial(backend, now)) {
                continue;
            }
            const auto allowed = availability == backend_availability::one_request ? 1 : limit;
            if (state_.replicas().in_flight(backend.id) >= allowed) {
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
        const double distance_cost =
            backend.data_centre.text() == options.data_centre ? 1 : options.remote_cost;
        return now < backend.cold_until ? distance_cost * options.cold_cost : distance_cost;
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
        // While few latencies are known, connections are still being opened and a hedge would need
        // one more, so that half of the objective is used instead.
        constexpr int objective_divisor = 2;
        const auto& options = state_.options();
        const auto delay = state_.statistics_of(route_).hedge_delay(
            options.hedge_quantile, route_.objective / objective_divisor);
        return std::max(delay, options.min_hedge_delay);
    }

    /// Records the overdue attempts of a part and sends one more if the route and the budget allow
    /// it, unless the gather would be answered before its reply.
    void hedge(std::size_t index, kernel::time_point now) {
        auto& part = parts_[index];
        part.overdue_at.reset();
        if (part.state != part_state::open || part.in_flight == 0) {
            return;
        }
        report_overdue(index, now);
        if (is_trial(index)) {
            return;
        }
        const auto median_latency =
            state_.statistics_of(route_).median_latency(kernel::duration::zero());
        const bool reply_too_late =
            is_gather() && coverage_suffices() && now + median_latency > limits_.partial_deadline;
        if (route_.kind != retry_safety::safe || reply_too_late) {
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

    /// Whether the budget allows one more attempt for a part. The reserve of the budget may be used
    /// only if the request fails when `missing_part_count` parts stay without a reply.
    [[nodiscard]] bool may_send_extra(const request_part& part, std::size_t missing_part_count,
                                      kernel::time_point now) {
        const auto& budget = budget_of(part, now);
        const bool would_fail = parts_.size() - missing_part_count < needed_part_count();
        return would_fail ? budget.available_reserved(now) : budget.available(now);
    }

    void report_overdue(std::size_t index, kernel::time_point now) {
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
        const auto median_latency =
            state_.statistics_of(route_).median_latency(kernel::duration::zero());
        const auto ahead = state_.waiting().size(part.service);
        const auto capacity = part.backends->size() * state_.in_flight_limit(*view_, part.service);
        const auto rounds =
            static_cast<kernel::duration::rep>(ahead / std::max<std::size_t>(1, capacity));
        return now + median_latency * (rounds + 2) > limits_.final_deadline;
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

    /// Scales a latency by the median of the route, so that the latencies kept for each backend
    /// server are comparable between routes with different work.
    [[nodiscard]] kernel::duration normalised(kernel::duration latency) {
        constexpr kernel::duration reference = std::chrono::milliseconds{10};
        const auto median_latency = state_.statistics_of(route_).median_latency(latency);
        const double relative =
            static_cast<double>(latency.count()) /
            static_cast<double>(std::max<kernel::duration::rep>(1, median_latency.count()));
        return kernel::duration{
            static_cast<kernel::duration::rep>(relative * static_cast<double>(reference.count()))};
    }

    void record_result(const backend_attempt& attempt, const attempt_result& result,
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
            record_failure(attempt, to_string(result.end));
            return;
        }
        state_.notices().on_reply(*attempt.backend, result.reply, now);
        if (result.reply.misdirected) {
            replicas.on_failed(id, now);
            replicas.mark_draining(id, now);
            record_failure(attempt, "misdirected");
            return;
        }
        if (!result.reply.success()) {
            replicas.on_failed(id, now);
            record_failure(attempt, result.reply.executed ? "failure_status" : "not_executed");
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

    void record_failure(const backend_attempt& attempt, std::string_view failure) {
        state_.counters().add(failure);
        summary_.last_failure = std::string{failure} + "@" + attempt.backend->id.text();
    }

    void apply_result(const backend_attempt& attempt, attempt_result result,
                      kernel::time_point now) {
        // A copy, since a retry adds an attempt and may move the others.
        const auto index = attempt.part;
        auto& part = parts_[index];
        if (result.end == attempt_end::replied && is_final(result.reply)) {
            part.state = part_state::answered;
            part.overdue_at.reset();
            part.reply = std::move(result.reply);
            drop_surplus_records(*part.reply);
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
        if (is_trial(index) && !(trial_ == trial_state::retrying && unreachable)) {
            end_trial(executed ? crash_quarantine::trial_outcome::failed
                               : crash_quarantine::trial_outcome::not_run,
                      now);
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
            part.state = may_retry(part) ? part_state::refused : part_state::failed;
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
        if (is_trial(index) && part.state == part_state::failed) {
            end_trial(crash_quarantine::trial_outcome::not_run, now);
            fail_after_trial();
        }
    }

    /// Keeps only those records of a large part that the answer can contain, since parts are kept
    /// until the gather is answered.
    void drop_surplus_records(backend_reply& reply) const {
        constexpr std::size_t large_part_bytes = std::size_t{16} * 1024;
        const auto* gather = plan();
        if (gather == nullptr || reply.body.size() <= large_part_bytes ||
            reply.body.size() / record_bytes <= gather->top_k) {
            return;
        }
        reply.body = top_records({reply.body}, gather->top_k);
    }

    /// Whether a reply settles its part without another attempt. A server error of a backend server
    /// is forwarded only if no other attempt is possible.
    [[nodiscard]] bool is_final(const backend_reply& reply) const {
        if (reply.success()) {
            return !is_gather() || !reply.signature.empty();
        }
        constexpr unsigned first_server_error = 500;
        return !is_gather() && reply.executed && reply.status < first_server_error;
    }

    void retry(std::size_t index, bool delivered, kernel::time_point now) {
        auto& part = parts_[index];
        if (!may_retry(part)) {
            part.state = part_state::failed;
            return;
        }
        if (delivered && !may_send_extra(part, failed_part_count() + 1, now)) {
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

    [[nodiscard]] bool may_retry(const request_part& part) const {
        // Sends that were refused or not delivered do not count as attempts. The total number of
        // sends is limited too, so that a service at its limit is not sent the same request
        // indefinitely.
        constexpr std::uint32_t sends_per_attempt = 2;
        return part.send_count - part.not_run_count < limits_.max_attempts &&
               part.send_count < limits_.max_attempts * sends_per_attempt &&
               (route_.kind == retry_safety::safe || !part.may_have_run);
    }

    /// Retries refused parts: as many as the minimum coverage needs, provided that the budgets
    /// allow all of these, and further parts whose budgets are filled to `optional_retry_min_fill`.
    void retry_refused_parts(kernel::time_point now) {
        refusal_collection_end_.reset();
        const auto spare = parts_.size() - needed_part_count();
        const auto needed = failed_part_count() > spare ? failed_part_count() - spare : 0;
        std::vector<std::size_t> within_budget;
        for (std::size_t it = 0; it < parts_.size(); ++it) {
            if (parts_[it].state == part_state::refused && is_servable(parts_[it], state_, now) &&
                budget_of(parts_[it], now).available_reserved(now)) {
                within_budget.push_back(it);
            }
        }
        if (within_budget.size() < needed) {
            summary_.over_budget += static_cast<std::uint32_t>(needed - within_budget.size());
            return;
        }
        std::sort(within_budget.begin(), within_budget.end(), [&](auto a, auto b) {
            return budget_of(parts_[a], now).tokens() > budget_of(parts_[b], now).tokens();
        });
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

    [[nodiscard]] std::size_t failed_part_count() const {
        return count(part_state::failed) + count(part_state::refused);
    }

    [[nodiscard]] std::size_t needed_part_count() const {
        const auto* gather = plan();
        const double min_coverage = gather == nullptr ? 1 : gather->min_coverage;
        // Products such as 0.89 * 100 may be slightly above the whole number because of rounding.
        constexpr double rounding = 1e-9;
        const auto parts = static_cast<double>(parts_.size());
        return std::max<std::size_t>(
            1, static_cast<std::size_t>(std::ceil(min_coverage * parts - rounding)));
    }

    [[nodiscard]] bool coverage_suffices() const {
        return count(part_state::answered) >= needed_part_count();
    }

    /// Retries refused parts when their collection time is over. Answers the request if all parts
    /// are settled, it can no longer succeed, or a deadline has passed.
    void answer_if_settled(kernel::time_point now) {
        if (!finished_) {
            answer_or_continue(now);
        }
        if (finished_) {
            leave_trial(now);
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
        const auto covered = count(part_state::answered);
        const auto failed = failed_part_count();
        const bool all_settled = covered + failed == parts_.size();
        const bool enough = covered >= needed_part_count();
        if (enough && ((all_settled && !refusal_collection_end_) ||
                       (is_gather() && partial_deadline_passed_))) {
            answered_at_partial_deadline_ = !all_settled && expired_now;
            succeed();
            return;
        }
        if (parts_.size() - failed < needed_part_count() && !refusal_collection_end_) {
            fail(now);
            return;
        }
        if (now >= limits_.final_deadline) {
            time_out(now);
            return;
        }
        if (wait_deadline_ && now >= *wait_deadline_ && has_not_run()) {
            refuse("all backend servers are busy");
        }
    }

    /// Whether it is certain that no backend server has run the request.
    [[nodiscard]] bool has_not_run() const {
        return std::none_of(parts_.begin(), parts_.end(), [](const auto& it) {
            return it.may_have_run || it.in_flight > 0 || it.state == part_state::answered;
        });
    }

    void succeed() {
        if (!is_gather()) {
            forward_reply(std::move(*parts_.front().reply));
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

    void forward_reply(backend_reply reply) {
        gateway_answer answer;
        if (reply.executed && reply.status_implies_not_run) {
            // The client would conclude from the status that the request has not run.
            answer.kind = answer_kind::failed;
            answer.reason = "the backend server failed after running the request";
        } else {
            answer.kind = answer_kind::passed_on;
            answer.reply = std::move(reply);
        }
        finish(std::move(answer));
    }

    void fail(kernel::time_point now) {
        auto& first = parts_.front();
        if (!is_gather() && first.reply) {
            forward_reply(std::move(*first.reply));
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
        if (has_not_run()) {
            refuse_until_servable(reason_if_not_run, now);
            return;
        }
        gateway_answer answer;
        answer.kind = kind;
        answer.reason = reason;
        finish(std::move(answer));
    }

    void refuse(std::string_view reason, kernel::duration min_wait = kernel::duration::zero()) {
        // After a longer wait, clients return over a longer time too.
        constexpr int spread_divisor = 4;
        const auto& options = state_.options();
        const auto spread = std::max<kernel::duration>(
            options.max_retry_after - options.min_retry_after, min_wait / spread_divisor);
        gateway_answer answer;
        answer.kind = answer_kind::not_run;
        answer.reason = reason;
        answer.retry_after =
            std::max(min_wait, options.min_retry_after) +
            kernel::duration{static_cast<kernel::duration::rep>(
                kernel::uniform_unit(state_.random()) * static_cast<double>(spread.count()))};
        finish(std::move(answer));
    }

    /// Refuses the request. If its services have announced pauses, the client may return after
    /// them.
    void refuse_until_servable(std::string_view reason, kernel::time_point now) {
        refuse(reason, time_until_servable(parts_, needed_part_count(), state_, now));
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
    std::vector<request_part> parts_;
    std::vector<backend_attempt> attempts_;
    session_limits limits_;
    std::optional<kernel::time_point> wait_deadline_;
    std::optional<kernel::time_point> refusal_collection_end_;
    std::optional<kernel::time_point> cancel_at_;
    bool partial_deadline_passed_ = false;
    bool answered_at_partial_deadline_ = false;
    trial_state trial_ = trial_state::none;
    /// The part of the trial that is under way.
    std::size_t trial_part_ = 0;
    /// Number of attempts whose connection was lost while the request may have been executed.
    std::ptrdiff_t lost_count_ = 0;
    /// Probes without a result.
    std::uint32_t open_probes_ = 0;
    /// Whether the trial by which lost parts are retried has ended.
    bool retry_trial_ended_ = false;
    /// Whether the client was answered or has disconnected.
    bool finished_ = false;
    request_summary summary_;
};

}  // namespace poplarfront::gateway
