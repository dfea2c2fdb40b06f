#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/client_request.h"
#include "gateway/delegated_gather.h"
#include "gateway/session_limits.h"
#include "gateway/traffic_state.h"

namespace poplarfront::gateway {

/// What a handover needs to act.
template <class T>
concept delegation_transport = requires(T& transport, const registered_instance& delegate,
                                        session_limits limits, bool reports_missed,
                                        gateway_answer answer, std::uint32_t max_attempts) {
    // Sends the order. Reports arrive later through gather_delegation::on_report, never from within
    // the call, and only for the order that was sent last.
    { transport.send_gather(delegate, limits) } -> std::same_as<void>;
    // Tells that the first report on the last order has arrived.
    { transport.confirm(delegate) } -> std::same_as<void>;
    // Withdraws the last order. `reports_missed` tells that an expected report is missing.
    { transport.cancel(delegate, reports_missed) } -> std::same_as<void>;
    // Gathers on this instance instead, with so many attempts for each shard; nothing further is
    // called.
    { transport.gather_locally(max_attempts) } -> std::same_as<void>;
    // Answers the client; nothing further is called.
    { transport.answer(std::move(answer)) } -> std::same_as<void>;
};

/// Hands one gather over to an instance that gathers for others, and to another one if the first
/// does not report. Until an order is confirmed, its delegate asks one backend server of each
/// shard, so that those that get the request from all delegates together stay within the route's
/// attempts.
///
/// Thread safety: none; it belongs to one traffic thread.
template <delegation_transport Transport>
class gather_delegation {
public:
    /// Precondition: the route is a gather. `state` and `transport` outlive the handover.
    gather_delegation(traffic_state& state, Transport& transport,
                      std::shared_ptr<const fleet_view> view, const route& route,
                      const client_request& request)
        : state_(state),
          transport_(transport),
          view_(std::move(view)),
          route_(route),
          limits_(state.limits_for(route, request, gather_location::delegated)) {}

    void start(kernel::time_point now) { try_next(now); }

    void on_report(const gather_report& report, kernel::time_point now) {
        if (!under_way_) {
            return;
        }
        switch (report.status) {
            case gather_report::gather_status::in_progress:
                if (!accepted_after_) {
                    accepted_after_ = now - sent_at_;
                    transport_.confirm(*delegate_);
                }
                silent_until_ = now + report.next_report + later_report_slack();
                return;
            case gather_report::gather_status::refused:
                end_failed(now);
                try_next(now);
                return;
            case gather_report::gather_status::answered:
                under_way_ = false;
                when_due_ = report.at_partial_deadline;
                state_.replicas().on_answered(id(), accepted_after_.value_or(now - sent_at_),
                                              report.load, now);
                state_.counters().add("handover_answered");
                transport_.answer(report.answer);
                return;
        }
    }

    /// Takes the notice that the client has closed its connection.
    void on_client_disconnected(kernel::time_point now) {
        if (!under_way_) {
            return;
        }
        under_way_ = false;
        state_.replicas().on_cancelled(id(), kernel::duration::zero(), now);
        transport_.cancel(*delegate_, false);
    }

    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        return under_way_ ? std::optional{silent_until_} : std::nullopt;
    }

    void on_timer(kernel::time_point now) {
        if (!under_way_ || now < silent_until_) {
            return;
        }
        if (now - silent_until_ > most_lateness && !waited_longer_) {
            // This thread was held up, and the report may be waiting to be read.
            waited_longer_ = true;
            silent_until_ = now + report_slack();
            return;
        }
        state_.counters().add("handover_silent");
        transport_.cancel(*delegate_, true);
        const bool confirmed = accepted_after_.has_value();
        end_failed(now);
        --limits_.max_attempts;
        if (confirmed || limits_.max_attempts == 0) {
            fail();
            return;
        }
        try_next(now);
    }

    /// When the gather was due; absent if it was answered for another reason.
    [[nodiscard]] std::optional<kernel::time_point> expired_partial_deadline() const {
        return when_due_ ? std::optional{limits_.partial_deadline} : std::nullopt;
    }

private:
    static constexpr kernel::duration most_lateness = std::chrono::milliseconds{2};

    /// The delegate may have used all attempts, so that only the client can try again.
    void fail() {
        gateway_answer answer;
        answer.kind = answer_kind::failed;
        answer.reason = "the gatherer fell silent";
        transport_.answer(std::move(answer));
    }

    void try_next(kernel::time_point now) {
        // A third hop leaves less time than gathering here.
        constexpr std::size_t most_gatherers = 2;
        delegate_ = tried_.size() < most_gatherers ? choose(now) : std::nullopt;
        if (!delegate_) {
            state_.counters().add("handover_given_up");
            transport_.gather_locally(limits_.max_attempts);
            return;
        }
        tried_.push_back(delegate_->name);
        under_way_ = true;
        accepted_after_.reset();
        waited_longer_ = false;
        sent_at_ = now;
        silent_until_ = now + report_slack();
        state_.replicas().on_sent(id());
        transport_.send_gather(*delegate_, limits_);
    }

    [[nodiscard]] std::optional<registered_instance> choose(kernel::time_point now) {
        std::vector<model::server_id> ids;
        std::vector<const registered_instance*> instances;
        for (const auto& it : view_->delegates) {
            if (std::find(tried_.begin(), tried_.end(), it.name) == tried_.end()) {
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
        // Parts that cross data centres cost more than the answer that does.
        constexpr double far_from_client = 1.3;
        const double near_client =
            delegate.data_centre == state_.options().data_centre ? 1 : far_from_client;
        return near_client * (near_shards(delegate) ? 1 : state_.options().remote_cost);
    }

    [[nodiscard]] bool near_shards(const registered_instance& delegate) const {
        const auto* plan = std::get_if<gather_plan>(&route_.target);
        if (plan == nullptr || plan->shards->empty()) {
            return true;
        }
        const auto& backends = view_->backends_of(plan->shards->front());
        return std::any_of(backends.begin(), backends.end(), [&](const auto& it) {
            return it->data_centre.text() == delegate.data_centre;
        });
    }

    /// How much later than expected a report may arrive.
    [[nodiscard]] kernel::duration report_slack() const {
        constexpr int objective_part = 4;
        return std::max<kernel::duration>(state_.options().min_report_tolerance,
                                          route_.objective / objective_part);
    }

    /// As above, once the order is confirmed. Nobody else can take it then, so that there is no
    /// hurry.
    [[nodiscard]] kernel::duration later_report_slack() const {
        return std::max<kernel::duration>(report_slack(), route_.objective);
    }

    void end_failed(kernel::time_point now) {
        under_way_ = false;
        state_.replicas().on_failed(id(), now);
    }

    [[nodiscard]] model::server_id id() const { return model::server_id::trusted(delegate_->name); }

    traffic_state& state_;
    Transport& transport_;
    std::shared_ptr<const fleet_view> view_;
    const route& route_;
    session_limits limits_;
    std::vector<std::string> tried_;
    std::optional<registered_instance> delegate_;
    kernel::time_point sent_at_;
    kernel::time_point silent_until_;
    std::optional<kernel::duration> accepted_after_;
    bool waited_longer_ = false;
    bool under_way_ = false;
    bool when_due_ = false;
};

}  // namespace poplarfront::gateway
