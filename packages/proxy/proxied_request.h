#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "gateway/request_session.h"
#include "proxy/attempt_calls.h"

namespace poplarfront::proxy {

/// One request of a client: its session, the calls that the session asks for, and its timer. It
/// lives until the last call has ended, which may be after the answer.
///
/// Thread safety: none; it belongs to one traffic thread.
template <gateway_protocol Protocol>
class proxied_request : public std::enable_shared_from_this<proxied_request<Protocol>> {
public:
    using answer_handler = typename attempt_calls<Protocol>::answer_handler;

    static std::shared_ptr<proxied_request> create(
        boost::asio::io_context& context, gateway::traffic_state& state,
        backend_pool<Protocol>& pool, std::shared_ptr<const gateway::fleet_view> view,
        const gateway::route& route, received_request request, answer_handler on_answer) {
        std::shared_ptr<proxied_request> created(
            new proxied_request(context, state, pool, std::move(view), route, std::move(request),
                                std::move(on_answer)));
        created->calls_.on_results(
            [weak = created->weak_from_this()](gateway::attempt_number attempt) {
                return [self = weak.lock(), attempt](gateway::attempt_result result) {
                    self->session_.on_result(attempt, std::move(result), now());
                    self->arm_timer();
                };
            });
        return created;
    }

    void start() {
        session_.start(now());
        arm_timer();
    }

    void on_client_gone() {
        session_.on_client_gone(now());
        calls_.forget_answer();
        arm_timer();
    }

    [[nodiscard]] const gateway::client_request& request() const { return session_.request(); }
    [[nodiscard]] const gateway::route& request_route() const { return session_.request_route(); }
    [[nodiscard]] std::optional<kernel::time_point> answered_when_due() const {
        return session_.answered_when_due();
    }
    [[nodiscard]] const gateway::request_summary& summary() const { return session_.summary(); }

private:
    proxied_request(boost::asio::io_context& context, gateway::traffic_state& state,
                    backend_pool<Protocol>& pool, std::shared_ptr<const gateway::fleet_view> view,
                    const gateway::route& route, received_request request, answer_handler on_answer)
        : timer_(context),
          calls_(pool, std::move(request.forwarded), request.request.id,
                 std::holds_alternative<gateway::gather_plan>(route.target) ? reply_fields::none
                                                                            : reply_fields::all,
                 std::move(on_answer)),
          session_(state, calls_, std::move(view), route, std::move(request.request)) {}

    static kernel::time_point now() { return kernel::time_point::clock::now(); }

    /// Sets the timer if it would be late. One that is early runs once more instead, which costs
    /// less than setting it after each event.
    void arm_timer() {
        const auto next = session_.next_timer();
        if (!next || (armed_for_ && *armed_for_ <= *next)) {
            return;
        }
        armed_for_ = next;
        timer_.expires_at(*next);
        timer_.async_wait([weak = this->weak_from_this()](const boost::system::error_code& ec) {
            const auto self = weak.lock();
            if (!ec && self != nullptr) {
                self->on_timer();
            }
        });
    }

    void on_timer() {
        armed_for_.reset();
        if (const auto due = session_.next_timer(); due && *due <= now()) {
            session_.on_timer(now());
        }
        arm_timer();
    }

    boost::asio::steady_timer timer_;
    std::optional<kernel::time_point> armed_for_;
    attempt_calls<Protocol> calls_;
    gateway::request_session<attempt_calls<Protocol>> session_;
};

}  // namespace poplarfront::proxy
