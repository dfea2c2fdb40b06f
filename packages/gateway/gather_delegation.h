#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/client_request.h"
#include "gateway/delegated_gather.h"
#include "gateway/session_limits.h"
#include "gateway/traffic_state.h"

namespace poplarfront::gateway {

/// The operations that a gather_delegation needs.
template <class T>
concept delegation_transport = requires(T& transport, const registered_instance& delegate,
                                        session_limits limits, bool reports_missed,
                                        gateway_answer answer, std::uint32_t max_attempts) {
    // Sends the gather to a delegate. The reports arrive through gather_delegation::on_report after
    // the call has returned, and only those of the delegate that the gather was last sent to.
    { transport.send_gather(delegate, limits) } -> std::same_as<void>;
    // Confirms to the delegate that the gather was last sent to that its first report has arrived.
    { transport.confirm(delegate) } -> std::same_as<void>;
    // Cancels the gather at the delegate that it was last sent to. `reports_missed`: an expected
    // report is missing.
    { transport.cancel(delegate, reports_missed) } -> std::same_as<void>;
    // Runs the gather on this instance instead, with at most `max_attempts` attempts per shard.
    // Nothing is called afterwards.
    { transport.gather_locally(max_attempts) } -> std::same_as<void>;
    // Answers the client. Nothing is called afterwards.
    { transport.answer(std::move(answer)) } -> std::same_as<void>;
};

/// Delegates one gather to another instance, the delegate, and to a second one if the first refuses
/// the gather or does not report in time. If no delegate is left, the gather runs on this instance.
/// A delegate sends the request to only one backend server of each shard until the gather is
/// confirmed, so that all delegates together stay within the route's maximum of attempts.
///
/// Not thread-safe; used by one traffic thread.
template <delegation_transport Transport>
class gather_delegation {
public:
    /// Precondition: the target of `route` is a gather_plan. `state`, `transport` and `route`
    /// outlive this object.
    gather_delegation(traffic_state& state, Transport& transport,
                      std::shared_ptr<const fleet_view> view, const route& route,
                      const client_request& request)
        : state_(state),
          transport_(transport),
          view_(std::move(view)),
          route_(route),
          limits_(state.limits_for(route, request, gather_location::delegated)) {}

    void start(kernel::time_point now) { delegate_to_next(now); }

    void on_report(const gather_report& report, kernel::time_point now) {
        if (!in_progress_) {
            return;
        }
        switch (report.status) {
            case gather_report::gather_status::in_progress:
                if (!acceptance_latency_) {
                    acceptance_latency_ = now - sent_at_;
                    transport_.confirm(*delegate_);
                }
                report_deadline_ = now + report.next_report + confirmed_report_tolerance();
                return;
            case gather_report::gather_status::refused:
                on_delegate_failed(now);
                delegate_to_next(now);
                return;
            case gather_report::gather_status::answered:
                in_progress_ = false;
                answered_at_partial_deadline_ = report.at_partial_deadline;
                state_.replicas().on_answered(
                    delegate_id(), acceptance_latency_.value_or(now - sent_at_), report.load, now);
                state_.counters().add("handover_answered");
                transport_.answer(report.answer);
                return;
        }
    }

    /// Answers the client now with a failure if there is no answer yet, and cancels the gather.
    void on_final_deadline(kernel::time_point now) {
        if (in_progress_) {
            on_client_disconnected(now);
            answer_failed("the instance is stopping");
        }
    }

    /// Handles the end of the client's connection.
    void on_client_disconnected(kernel::time_point now) {
        if (!in_progress_) {
            return;
        }
        in_progress_ = false;
        state_.replicas().on_cancelled(delegate_id(), kernel::duration::zero(), now);
        transport_.cancel(*delegate_, false);
    }

    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        return in_progress_ ? std::optional{report_deadline_} : std::nullopt;
    }

    void on_timer(kernel::time_point now) {
        if (!in_progress_ || now < report_deadline_) {
            return;
        }
        if (now - report_deadline_ > max_timer_delay && !wait_extended_) {
            // This thread was delayed itself, and a report that has arrived may still be unread.
            wait_extended_ = true;
            report_deadline_ = now + report_tolerance();
            return;
        }
        state_.counters().add("handover_silent");
        transport_.cancel(*delegate_, true);
        const bool confirmed = acceptance_latency_.has_value();
        on_delegate_failed(now);
        // The delegate may have sent the request to one backend server of each shard.
        --limits_.max_attempts;
        if (confirmed || limits_.max_attempts == 0) {
            answer_failed("no report from the delegate in time");
            return;
        }
        delegate_to_next(now);
    }

    /// The partial deadline if its expiry caused the answer; absent otherwise.
    [[nodiscard]] std::optional<kernel::time_point> expired_partial_deadline() const {
        return answered_at_partial_deadline_ ? std::optional{limits_.partial_deadline}
                                             : std::nullopt;
    }

private:
    static constexpr kernel::duration max_timer_delay = std::chrono::milliseconds{2};

    /// Answers with a failure: the delegates may have used all attempts, so that only the client
    /// can try again.
    void answer_failed(std::string_view reason) {
        gateway_answer answer;
        answer.kind = answer_kind::failed;
        answer.reason = reason;
        transport_.answer(std::move(answer));
    }

    void delegate_to_next(kernel::time_point now) {
        // After two failed delegations a gather on this instance is answered sooner than one by a
        // third delegate.
        constexpr std::size_t max_delegations = 2;
        delegate_ = tried_delegates_.size() < max_delegations ? choose_delegate(now) : std::nullopt;
        if (!delegate_) {
            state_.counters().add("handover_given_up");
            transport_.gather_locally(limits_.max_attempts);
            return;
        }
        tried_delegates_.push_back(delegate_->name);
        in_progress_ = true;
        acceptance_latency_.reset();
        wait_extended_ = false;
        sent_at_ = now;
        report_deadline_ = now + report_tolerance();
        state_.replicas().on_sent(delegate_id());
        transport_.send_gather(*delegate_, limits_);
    }

    [[nodiscard]] std::optional<registered_instance> choose_delegate(kernel::time_point now) {
        std::vector<model::server_id> ids;
        std::vector<const registered_instance*> instances;
        for (const auto& it : view_->delegates) {
            if (std::find(tried_delegates_.begin(), tried_delegates_.end(), it.name) ==
                tried_delegates_.end()) {
                ids.push_back(model::server_id::trusted(it.name));
                instances.push_back(&it);
            }
        }
        std::vector<routing::replica_candidate> candidates;
        for (std::size_t it = 0; it < ids.size(); ++it) {
            candidates.push_back({&ids[it], cost_factor(*instances[it])});
        }
        const auto chosen = state_.replicas().choose_index(candidates, now);
        return chosen ? std::optional{*instances[*chosen]} : std::nullopt;
    }

    [[nodiscard]] double cost_factor(const registered_instance& delegate) const {
        // Only the answer is sent between the data centres of the instance and the delegate, but
        // the parts of all shards between those of the shards and the delegate. Both costs together
        // are less than that of a delegate that has just failed.
        constexpr double remote_delegate_cost = 1.3;
        constexpr double remote_shards_cost = 2;
        const double delegate_cost =
            delegate.data_centre == state_.options().data_centre ? 1 : remote_delegate_cost;
        return delegate_cost * (is_near_first_shard(delegate) ? 1 : remote_shards_cost);
    }

    /// Whether the first shard has a backend server in the delegate's data centre.
    [[nodiscard]] bool is_near_first_shard(const registered_instance& delegate) const {
        const auto* plan = std::get_if<gather_plan>(&route_.target);
        if (plan == nullptr || plan->shards->empty()) {
            return true;
        }
        const auto& backends = view_->backends_of(plan->shards->front());
        return std::any_of(backends.begin(), backends.end(), [&](const auto& it) {
            return it->data_centre.text() == delegate.data_centre;
        });
    }

    /// How late a report may be before the delegate counts as failed.
    [[nodiscard]] kernel::duration report_tolerance() const {
        constexpr int objective_divisor = 4;
        return std::max<kernel::duration>(state_.options().min_report_tolerance,
                                          route_.objective / objective_divisor);
    }

    /// How late a report may be once the gather is confirmed. This is longer, since no other
    /// delegate can take over any more and an early decision gains nothing.
    [[nodiscard]] kernel::duration confirmed_report_tolerance() const {
        return std::max<kernel::duration>(report_tolerance(), route_.objective);
    }

    void on_delegate_failed(kernel::time_point now) {
        in_progress_ = false;
        state_.replicas().on_failed(delegate_id(), now);
    }

    [[nodiscard]] model::server_id delegate_id() const {
        return model::server_id::trusted(delegate_->name);
    }

    traffic_state& state_;
    Transport& transport_;
    std::shared_ptr<const fleet_view> view_;
    const route& route_;
    session_limits limits_;
    std::vector<std::string> tried_delegates_;
    std::optional<registered_instance> delegate_;
    kernel::time_point sent_at_;
    kernel::time_point report_deadline_;
    std::optional<kernel::duration> acceptance_latency_;
    bool wait_extended_ = false;
    bool in_progress_ = false;
    bool answered_at_partial_deadline_ = false;
};

}  // namespace poplarfront::gateway
