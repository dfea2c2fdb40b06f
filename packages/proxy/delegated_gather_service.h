#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "daemon/peer_link.h"
#include "gateway/delegated_gather.h"
#include "proxy/proxied_request.h"
#include "proxy/request_log.h"
#include "proxy/traffic_context.h"
#include "wire/gather_codec.h"

namespace poplarfront::proxy {

/// Executes the gathers that other instances delegate to this one, on one traffic thread.
///
/// Thread safety: none; it belongs to the traffic thread.
template <gateway_protocol Protocol>
class delegated_gather_service
    : public std::enable_shared_from_this<delegated_gather_service<Protocol>> {
public:
    delegated_gather_service(std::shared_ptr<traffic_context<Protocol>> context,
                             std::shared_ptr<daemon::peer_link> link)
        : context_(std::move(context)), link_(std::move(link)) {}

    /// `sender`: the name of the instance that delegates the gather.
    void on_delegated_gather(const gateway::delegated_gather& gather, const std::string& sender) {
        const auto view = context_->view->read();
        const auto* route = view->configuration == nullptr
                                ? nullptr
                                : view->routes.find(gather.host, gather.target);
        if (const auto reason = refusal_reason(gather, *view, route); !reason.empty()) {
            context_->state.counters().add("order_refused");
            log_delegated_gather_refused(gather, sender, reason);
            // A default report has the status `refused`.
            report({gather.reply_to, gather.number}, {});
            return;
        }
        start_gather(gather, sender, view, *route);
    }

    void on_warm_up(const gateway::delegated_gather_reference& warm_up) {
        // The report only opens the connection to the sender, which ignores its content.
        report({warm_up.reply_to, warm_up.number}, {});
    }

    void on_confirmation(const gateway::delegated_gather_reference& confirmation) {
        const auto it = running_.find({confirmation.reply_to, confirmation.number});
        if (it != running_.end()) {
            it->second.request->set_max_attempts(it->second.gather.max_attempts);
        }
    }

    void on_cancel(const gateway::gather_cancel& cancel) {
        if (cancel.reports_missed) {
            link_->reconnect(cancel.reply_to);
        }
        const auto it = running_.find({cancel.reply_to, cancel.number});
        if (it != running_.end()) {
            const auto request = it->second.request;
            remove(it);
            request->on_client_disconnected();
        }
    }

private:
    /// The `reply_to` address and the number of a gather.
    using gather_key = std::pair<std::string, std::uint64_t>;
    struct running_gather {
        gateway::delegated_gather gather;
        std::string sender;
        std::shared_ptr<proxied_request<Protocol>> request;
        std::unique_ptr<boost::asio::steady_timer> partial_deadline_timer;
    };
    using running_gathers = std::map<gather_key, running_gather>;

    static kernel::time_point now() { return kernel::time_point::clock::now(); }

    [[nodiscard]] std::string refusal_reason(const gateway::delegated_gather& gather,
                                             const gateway::fleet_view& view,
                                             const gateway::route* route) const {
        if (context_->stopping) {
            return "stopping";
        }
        if (running_.size() >= context_->state.options().max_delegated_gathers) {
            return "too many delegated gathers";
        }
        if (view.configuration == nullptr ||
            view.configuration->version != gather.configuration_version) {
            return "different configuration version";
        }
        if (route == nullptr || !std::holds_alternative<gateway::gather_plan>(route->target)) {
            return "no gather route matches";
        }
        return running_.contains({gather.reply_to, gather.number}) ? "duplicate gather" : "";
    }

    void start_gather(const gateway::delegated_gather& gather, const std::string& sender,
                      std::shared_ptr<const gateway::fleet_view> view,
                      const gateway::route& route) {
        const auto start_time = now();
        constexpr std::uint32_t max_attempts_before_confirmation = 1;
        const gateway::session_limits limits{start_time + gather.time_to_partial_deadline,
                                             start_time + gather.time_to_final_deadline,
                                             max_attempts_before_confirmation};
        received_request received;
        received.request = {gather.request_id,  gather.host, gather.target,
                            gather.fingerprint, start_time,  gather.time_to_final_deadline};
        received.forwarded = {gather.head, gather.body, gather.without_reply_body};
        const gather_key key{gather.reply_to, gather.number};
        auto request = proxied_request<Protocol>::create_for_delegated_gather(
            *context_, std::move(view), route, std::move(received), limits,
            [weak = this->weak_from_this(), key](gateway::gateway_answer answer) {
                if (const auto self = weak.lock()) {
                    self->on_answer(key, std::move(answer));
                }
            });
        auto partial_deadline_timer =
            std::make_unique<boost::asio::steady_timer>(context_->thread->context());
        arm_partial_deadline_timer(*partial_deadline_timer, key, limits);
        running_.emplace(
            key, running_gather{gather, sender, request, std::move(partial_deadline_timer)});
        ++context_->open_delegated_gathers;
        report_in_progress(key, gather.time_to_partial_deadline);
        request->start();
    }

    /// Reports progress to the delegating instance at the partial deadline if there is no answer
    /// yet.
    void arm_partial_deadline_timer(boost::asio::steady_timer& timer, const gather_key& key,
                                    const gateway::session_limits& limits) {
        timer.expires_at(limits.partial_deadline);
        timer.async_wait(
            [weak = this->weak_from_this(), key, limits](const boost::system::error_code& ec) {
                const auto self = weak.lock();
                if (!ec && self != nullptr && self->running_.contains(key)) {
                    self->report_in_progress(key, limits.final_deadline - now());
                }
            });
    }

    /// `next_report`: time within which the next report is sent.
    void report_in_progress(const gather_key& key, kernel::duration next_report) {
        gateway::gather_report in_progress;
        in_progress.status = gateway::gather_report::gather_status::in_progress;
        in_progress.next_report = next_report;
        report(key, std::move(in_progress));
    }

    void on_answer(const gather_key& key, gateway::gateway_answer answer) {
        const auto it = running_.find(key);
        if (it == running_.end()) {
            return;
        }
        gateway::gather_report answered;
        answered.status = gateway::gather_report::gather_status::answered;
        answered.at_partial_deadline = it->second.request->expired_partial_deadline().has_value();
        answered.answer = std::move(answer);
        log_delegated_gather_answered(it->second.gather, it->second.sender, answered.answer);
        remove(it);
        report(key, std::move(answered));
    }

    void remove(typename running_gathers::iterator gather) {
        running_.erase(gather);
        --context_->open_delegated_gathers;
    }

    void report(const gather_key& key, gateway::gather_report report) {
        const auto& [reply_to, number] = key;
        report.number = number;
        report.load = static_cast<double>(running_.size()) /
                      static_cast<double>(context_->state.options().max_delegated_gathers);
        link_->send(reply_to, wire::message_kind::gather_report,
                    wire::encode_gather_report(report));
    }

    std::shared_ptr<traffic_context<Protocol>> context_;
    std::shared_ptr<daemon::peer_link> link_;
    running_gathers running_;
};

}  // namespace poplarfront::proxy
