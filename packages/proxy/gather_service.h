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
            report({order.reply_to, order.number}, {});
            return;
        }
        start(order, sender, view, *route);
    }

    void on_greeting(const gateway::order_reference& greeting) {
        report({greeting.reply_to, greeting.number}, {});
    }

    void on_confirmation(const gateway::order_reference& confirmation) {
        const auto it = running_.find({confirmation.reply_to, confirmation.number});
        if (it != running_.end()) {
            it->second.request->set_max_attempts(it->second.order.max_attempts);
        }
    }

    void on_cancel(const gateway::gather_cancel& cancel) {
        if (cancel.unheard) {
            link_->reconnect(cancel.reply_to);
        }
        const auto it = running_.find({cancel.reply_to, cancel.number});
        if (it != running_.end()) {
            const auto request = it->second.request;
            end(it);
            request->on_client_gone();
        }
    }

private:
    /// The address of the asking instance, and its number of the order.
    using order_key = std::pair<std::string, std::uint64_t>;
    struct running_order {
        gateway::gather_order order;
        std::string sender;
        std::shared_ptr<proxied_request<Protocol>> request;
        std::unique_ptr<boost::asio::steady_timer> reminder;
    };
    using running_orders = std::map<order_key, running_order>;

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
            [weak = this->weak_from_this(), key](gateway::gateway_answer answer) {
                if (const auto self = weak.lock()) {
                    self->on_answer(key, std::move(answer));
                }
            });
        auto reminder = std::make_unique<boost::asio::steady_timer>(shared_->thread->context());
        remind(*reminder, key, terms);
        running_.emplace(key, running_order{order, sender, request, std::move(reminder)});
        ++shared_->open_orders;
        report_at_work(key, order.left_to_answer);
        request->start();
    }

    /// Tells the asking instance when the answer takes longer than it wished.
    void remind(boost::asio::steady_timer& timer, const order_key& key,
                const gateway::session_terms& terms) {
        timer.expires_at(terms.answer_at);
        timer.async_wait(
            [weak = this->weak_from_this(), key, terms](const boost::system::error_code& ec) {
                const auto self = weak.lock();
                if (!ec && self != nullptr && self->running_.contains(key)) {
                    self->report_at_work(key, terms.ends_at - now());
                }
            });
    }

    void report_at_work(const order_key& key, kernel::duration next_report) {
        gateway::gather_report at_work;
        at_work.what = gateway::gather_report::outcome::at_work;
        at_work.next_report = next_report;
        report(key, std::move(at_work));
    }

    void on_answer(const order_key& key, gateway::gateway_answer answer) {
        const auto it = running_.find(key);
        if (it == running_.end()) {
            return;
        }
        gateway::gather_report answered;
        answered.what = gateway::gather_report::outcome::answered;
        answered.when_due = it->second.request->answered_when_due().has_value();
        answered.answer = std::move(answer);
        log_order_answered(it->second.order, it->second.sender, answered.answer);
        end(it);
        report(key, std::move(answered));
    }

    void end(typename running_orders::iterator order) {
        running_.erase(order);
        --shared_->open_orders;
    }

    void report(const order_key& key, gateway::gather_report report) {
        const auto& [reply_to, number] = key;
        report.number = number;
        report.load = static_cast<double>(running_.size()) /
                      static_cast<double>(shared_->state.options().max_orders);
        link_->send(reply_to, wire::message_kind::gather_report,
                    wire::encode_gather_report(report));
    }

    std::shared_ptr<traffic_context<Protocol>> shared_;
    std::shared_ptr<daemon::peer_link> link_;
    running_orders running_;
};

}  // namespace poplarfront::proxy
