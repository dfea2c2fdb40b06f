#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "daemon/peer_link.h"
#include "gateway/gather_order.h"
#include "proxy/proxied_request.h"
#include "proxy/request_log.h"
#include "proxy/traffic_context.h"
#include "wire/gather_codec.h"

namespace poplarfront::proxy {

/// Gathers for clients of other instances, on one traffic thread.
///
/// Thread safety: none; it belongs to the traffic thread.
template <gateway_protocol Protocol>
class gather_service : public std::enable_shared_from_this<gather_service<Protocol>> {
public:
    gather_service(std::shared_ptr<traffic_context<Protocol>> shared,
                   std::shared_ptr<daemon::peer_link> link)
        : shared_(std::move(shared)), link_(std::move(link)) {}

    /// `sender`: the name of the instance that asks.
    void on_order(const gateway::gather_order& order, const std::string& sender) {
        const auto view = shared_->view->read();
        const auto* route =
            view->configuration == nullptr ? nullptr : view->routes.find(order.host, order.target);
        if (const auto reason = reason_to_refuse(order, *view, route); !reason.empty()) {
            shared_->state.counters().add("order_refused");
            log_order_refused(order, sender, reason);
            gateway::gather_report refusal;
            report(order, refusal);
            return;
        }
        start(order, sender, view, *route);
    }

    void on_greeting(const gateway::gather_greeting& greeting) {
        gateway::gather_report report;
        report.number = greeting.number;
        link_->send(greeting.reply_to, wire::message_kind::gather_report,
                    wire::encode_gather_report(report));
    }

    void on_confirmation(const gateway::gather_confirmation& confirmation) {
        const auto it = running_.find({confirmation.reply_to, confirmation.number});
        if (it != running_.end()) {
            it->second.request->set_max_attempts(it->second.max_attempts);
        }
    }

    void on_cancel(const gateway::gather_cancel& cancel) {
        if (cancel.unheard) {
            link_->renew(cancel.reply_to);
        }
        const auto it = running_.find({cancel.reply_to, cancel.number});
        if (it != running_.end()) {
            const auto request = it->second.request;
            end(it->first);
            request->on_client_gone();
        }
    }

private:
    /// The address of the asking instance, and its number of the order.
    using order_key = std::pair<std::string, std::uint64_t>;
    struct running_order {
        std::shared_ptr<proxied_request<Protocol>> request;
        std::unique_ptr<boost::asio::steady_timer> reminder;
        std::uint32_t max_attempts = 1;
    };

    static kernel::time_point now() { return kernel::time_point::clock::now(); }

    [[nodiscard]] std::string reason_to_refuse(const gateway::gather_order& order,
                                               const gateway::fleet_view& view,
                                               const gateway::route* route) const {
        if (shared_->stopping) {
            return "stopping";
        }
        if (running_.size() >= shared_->state.options().max_orders) {
            return "too many orders";
        }
        if (view.configuration == nullptr ||
            view.configuration->version != order.configuration_version) {
            return "another configuration";
        }
        if (route == nullptr || !std::holds_alternative<gateway::gather_plan>(route->target)) {
            return "no gather fits";
        }
        return running_.contains({order.reply_to, order.number}) ? "known order" : "";
    }

    void start(const gateway::gather_order& order, const std::string& sender,
               std::shared_ptr<const gateway::fleet_view> view, const gateway::route& route) {
        const auto began = now();
        constexpr std::uint32_t unconfirmed_attempts = 1;
        const gateway::session_terms terms{began + order.left_to_answer, began + order.left_to_end,
                                           unconfirmed_attempts};
        received_request received;
        received.request = {order.request_id,  order.host, order.target,
                            order.fingerprint, began,      order.left_to_end};
        received.forwarded = {order.head, order.body, order.without_reply_body};
        const order_key key{order.reply_to, order.number};
        auto request = proxied_request<Protocol>::create_for_order(
            *shared_, std::move(view), route, std::move(received), terms,
            [weak = this->weak_from_this(), order, sender](gateway::gateway_answer answer) {
                if (const auto self = weak.lock()) {
                    self->on_answer(order, sender, std::move(answer));
                }
            });
        auto reminder = std::make_unique<boost::asio::steady_timer>(shared_->thread->context());
        remind(*reminder, order, terms);
        running_.emplace(key, running_order{request, std::move(reminder), order.max_attempts});
        ++shared_->open_orders;
        report_at_work(order, order.left_to_answer);
        request->start();
    }

    /// Tells the asking instance when the answer takes longer than it wished.
    void remind(boost::asio::steady_timer& timer, const gateway::gather_order& order,
                const gateway::session_terms& terms) {
        timer.expires_at(terms.answer_at);
        timer.async_wait([weak = this->weak_from_this(), order,
                          terms](const boost::system::error_code& ec) {
            const auto self = weak.lock();
            if (!ec && self != nullptr && self->running_.contains({order.reply_to, order.number})) {
                self->report_at_work(order, terms.ends_at - now());
            }
        });
    }

    void report_at_work(const gateway::gather_order& order, kernel::duration next_report) {
        gateway::gather_report at_work;
        at_work.what = gateway::gather_report::outcome::at_work;
        at_work.next_report = next_report;
        report(order, at_work);
    }

    void on_answer(const gateway::gather_order& order, const std::string& sender,
                   gateway::gateway_answer answer) {
        const auto it = running_.find({order.reply_to, order.number});
        if (it == running_.end()) {
            return;
        }
        gateway::gather_report answered;
        answered.what = gateway::gather_report::outcome::answered;
        answered.when_due = it->second.request->answered_when_due().has_value();
        answered.answer = std::move(answer);
        log_order_answered(order, sender, answered.answer);
        end(it->first);
        report(order, answered);
    }

    void end(const order_key& key) {
        running_.erase(key);
        --shared_->open_orders;
    }

    void report(const gateway::gather_order& order, gateway::gather_report& report) {
        report.number = order.number;
        report.load = static_cast<double>(running_.size()) /
                      static_cast<double>(shared_->state.options().max_orders);
        link_->send(order.reply_to, wire::message_kind::gather_report,
                    wire::encode_gather_report(report));
    }

    std::shared_ptr<traffic_context<Protocol>> shared_;
    std::shared_ptr<daemon::peer_link> link_;
    std::map<order_key, running_order> running_;
};

}  // namespace poplarfront::proxy
