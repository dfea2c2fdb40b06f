#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "gateway/request_session.h"
#include "proxy/attempt_calls.h"
#include "proxy/delegation_calls.h"
#include "proxy/traffic_context.h"

namespace poplarfront::proxy {

/// One request: its session, the calls that the session asks for, its timer, and before that the
/// handover to another instance. It lives until the last call has ended, which may be after the
/// answer.
///
/// Thread safety: none; it belongs to one traffic thread.
template <gateway_protocol Protocol>
class proxied_request : public std::enable_shared_from_this<proxied_request<Protocol>> {
public:
    using answer_handler = typename attempt_calls<Protocol>::answer_handler;
    using view_ptr = std::shared_ptr<const gateway::fleet_view>;

    /// For a request of a client, which is handed over if it is a gather and other instances gather
    /// for this one. `shared` outlives it.
    static std::shared_ptr<proxied_request> create(traffic_context<Protocol>& shared,
                                                   const view_ptr& view,
                                                   const gateway::route& route,
                                                   received_request request,
                                                   answer_handler on_answer) {
        auto created = create_here(shared, view, route, std::move(request), std::nullopt,
                                   std::move(on_answer));
        if (shared.orders != nullptr && created->session_.is_gather() && !view->delegates.empty()) {
            created->prepare_delegation(*shared.orders, view, route);
        }
        return created;
    }

    /// For a gather that another instance has ordered.
    static std::shared_ptr<proxied_request> create_for_delegated_gather(
        traffic_context<Protocol>& shared, const view_ptr& view, const gateway::route& route,
        received_request request, gateway::session_limits limits, answer_handler on_answer) {
        return create_here(shared, view, route, std::move(request), limits, std::move(on_answer));
    }

    void start() {
        if (delegation_) {
            delegation_->start(now());
            end_delegation();
        } else {
            session_.start(now());
        }
        arm_timer();
    }

    void on_client_disconnected() {
        if (delegation_) {
            delegation_->on_client_disconnected(now());
        } else {
            session_.on_client_disconnected(now());
        }
        calls_.forget_answer();
        arm_timer();
    }

    /// Sets how many backend servers may get the request, for each shard.
    void set_max_attempts(std::uint32_t attempts) { session_.set_max_attempts(attempts); }

    /// Takes the notice that the answer has been written, and learns how late it was.
    void on_answer_written() {
        if (const auto due = expired_partial_deadline()) {
            state_.on_answer_delay(now() - *due, delegation_ ? gateway::gather_location::delegated
                                                             : gateway::gather_location::local);
        }
    }

    [[nodiscard]] const gateway::client_request& request() const { return session_.request(); }
    [[nodiscard]] const gateway::route& request_route() const { return session_.request_route(); }
    /// When an incomplete gather was due; absent if the request was answered for another reason.
    [[nodiscard]] std::optional<kernel::time_point> expired_partial_deadline() const {
        return delegation_ ? delegation_->expired_partial_deadline()
                           : session_.expired_partial_deadline();
    }
    [[nodiscard]] const gateway::request_summary& summary() const { return session_.summary(); }

private:
    static std::shared_ptr<proxied_request> create_here(
        traffic_context<Protocol>& shared, const view_ptr& view, const gateway::route& route,
        received_request request, std::optional<gateway::session_limits> limits,
        answer_handler on_answer) {
        std::shared_ptr<proxied_request> created(new proxied_request(
            shared, view, route, std::move(request), limits, std::move(on_answer)));
        created->calls_.on_results(
            [weak = created->weak_from_this()](gateway::attempt_number attempt) {
                return [self = weak.lock(), attempt](gateway::attempt_result result) {
                    self->session_.on_result(attempt, std::move(result), now());
                    self->arm_timer();
                };
            });
        return created;
    }

    proxied_request(traffic_context<Protocol>& shared, const view_ptr& view,
                    const gateway::route& route, received_request request,
                    std::optional<gateway::session_limits> limits, answer_handler on_answer)
        : state_(shared.state),
          timer_(shared.thread->context()),
          calls_(shared.pool, std::move(request.forwarded), request.request.id,
                 std::holds_alternative<gateway::gather_plan>(route.target) ? reply_fields::none
                                                                            : reply_fields::all,
                 std::move(on_answer)),
          session_(shared.state, calls_, view, route, std::move(request.request), limits) {}

    void prepare_delegation(delegated_gather_table& book, const view_ptr& view,
                            const gateway::route& route) {
        delegation_calls::handlers handlers;
        handlers.on_report = [weak = this->weak_from_this()](const auto& report) {
            if (const auto self = weak.lock(); self != nullptr && self->delegation_) {
                self->delegation_->on_report(report, now());
                self->end_delegation();
                self->arm_timer();
            }
        };
        handlers.gather_locally = [this](std::uint32_t max_attempts) {
            attempts_here_ = max_attempts;
        };
        handlers.answer = [this](gateway::gateway_answer answer) {
            calls_.answer(std::move(answer));
        };
        handover_calls_.emplace(book, session_.request(), calls_.forwarded(),
                                view->configuration->version, std::move(handlers));
        delegation_.emplace(state_, *handover_calls_, view, route, session_.request());
    }

    /// Gathers here if the handover has been given up.
    void end_delegation() {
        if (const auto attempts = std::exchange(attempts_here_, std::nullopt)) {
            delegation_.reset();
            session_.set_max_attempts(*attempts);
            session_.start(now());
        }
    }

    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        return delegation_ ? delegation_->next_timer() : session_.next_timer();
    }

    static kernel::time_point now() { return kernel::time_point::clock::now(); }

    /// Sets the timer if it would be late. One that is early runs once more instead, which costs
    /// less than setting it after each event.
    void arm_timer() {
        const auto next = next_timer();
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
        if (const auto due = next_timer(); due && *due <= now()) {
            if (delegation_) {
                delegation_->on_timer(now());
                end_delegation();
            } else {
                session_.on_timer(now());
            }
        }
        arm_timer();
    }

    gateway::traffic_state& state_;
    boost::asio::steady_timer timer_;
    std::optional<kernel::time_point> armed_for_;
    attempt_calls<Protocol> calls_;
    gateway::request_session<attempt_calls<Protocol>> session_;
    std::optional<delegation_calls> handover_calls_;
    /// Present while and after another instance gathers.
    std::optional<gateway::gather_delegation<delegation_calls>> delegation_;
    /// Set when the handover has been given up.
    std::optional<std::uint32_t> attempts_here_;
};

}  // namespace poplarfront::proxy
