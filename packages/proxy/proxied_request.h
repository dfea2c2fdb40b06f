#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "gateway/request_session.h"
#include "proxy/backend_session_transport.h"
#include "proxy/peer_delegation_transport.h"
#include "proxy/request_log.h"
#include "proxy/traffic_context.h"

namespace poplarfront::proxy {

/// One request of a client, or one gather that another instance has delegated to this one: its
/// session, the session's transport and a timer. A client's gather may be delegated first; its
/// session is then started only if the delegation requests local execution. The object lives until
/// its last call has ended, which may be after the answer.
///
/// Thread safety: none; it belongs to one traffic thread.
template <gateway_protocol Protocol>
class proxied_request : public std::enable_shared_from_this<proxied_request<Protocol>> {
public:
    using answer_handler = typename backend_session_transport<Protocol>::answer_handler;
    using view_ptr = std::shared_ptr<const gateway::fleet_view>;

    /// For a request of a client of this instance. A gather is delegated if there are delegates,
    /// unless it may crash backend servers: this instance then decides whether it is sent at all.
    /// `context` outlives the request.
    static std::shared_ptr<proxied_request> create(traffic_context<Protocol>& context,
                                                   const view_ptr& view,
                                                   const gateway::route& route,
                                                   received_request request,
                                                   answer_handler on_answer) {
        auto created = create_with_limits(context, view, route, std::move(request), std::nullopt,
                                          std::move(on_answer));
        if (context.delegated_gathers != nullptr && created->session_.is_gather() &&
            !view->delegates.empty() &&
            !context.state.quarantine().suspected(created->request().fingerprint)) {
            created->prepare_delegation(*context.delegated_gathers, view, route);
        }
        return created;
    }

    /// For a gather that another instance has delegated to this one.
    static std::shared_ptr<proxied_request> create_for_delegated_gather(
        traffic_context<Protocol>& context, const view_ptr& view, const gateway::route& route,
        received_request request, gateway::session_limits limits, answer_handler on_answer) {
        return create_with_limits(context, view, route, std::move(request), limits,
                                  std::move(on_answer));
    }

    void start() {
        if (delegation_) {
            delegation_->start(now());
            start_local_session_if_requested();
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
        session_transport_.discard_answer();
        arm_timer();
    }

    /// Answers the request now if it was not answered yet, since this instance stops.
    void expire() {
        if (delegation_) {
            delegation_->on_final_deadline(now());
        } else {
            session_.on_final_deadline(now());
        }
    }

    /// Sets the number of backend servers that may get the request, for each shard.
    void set_max_attempts(std::uint32_t attempts) { session_.set_max_attempts(attempts); }

    /// Called when the answer has been written, or its write has failed. Records the delay since
    /// the partial deadline if the answer was given because that deadline had expired.
    void on_write_ended() {
        if (const auto due = expired_partial_deadline()) {
            state_.on_answer_delay(now() - *due, delegation_ ? gateway::gather_location::delegated
                                                             : gateway::gather_location::local);
        }
    }

    [[nodiscard]] const gateway::client_request& request() const { return session_.request(); }
    [[nodiscard]] const gateway::route& request_route() const { return session_.request_route(); }
    /// The partial deadline, if the request was answered because it had expired.
    [[nodiscard]] std::optional<kernel::time_point> expired_partial_deadline() const {
        return delegation_ ? delegation_->expired_partial_deadline()
                           : session_.expired_partial_deadline();
    }
    [[nodiscard]] const gateway::request_summary& summary() const { return session_.summary(); }

private:
    static std::shared_ptr<proxied_request> create_with_limits(
        traffic_context<Protocol>& context, const view_ptr& view, const gateway::route& route,
        received_request request, std::optional<gateway::session_limits> limits,
        answer_handler on_answer) {
        std::shared_ptr<proxied_request> created(new proxied_request(
            context, view, route, std::move(request), limits, std::move(on_answer)));
        created->session_transport_.set_result_handler_factory(
            [weak = created->weak_from_this()](gateway::attempt_number attempt) {
                return [self = weak.lock(), attempt](gateway::attempt_result result) {
                    if (result.end == gateway::attempt_end::lost) {
                        log_attempt_lost(self->request(), self->session_.backend_of(attempt),
                                         self->session_.finished());
                    }
                    self->session_.on_result(attempt, std::move(result), now());
                    self->arm_timer();
                };
            });
        created->session_transport_.set_probe_handler_factory(
            [weak = created->weak_from_this()](gateway::attempt_number attempt) {
                return [self = weak.lock(), attempt](bool accepts_connections) {
                    log_probe_result(self->request(), self->session_.backend_of(attempt),
                                     accepts_connections);
                    self->session_.on_probe_result(attempt, accepts_connections, now());
                    self->arm_timer();
                };
            });
        created->session_transport_.set_session_caller(
            [weak = created->weak_from_this()](const std::function<void()>& call) {
                if (const auto self = weak.lock()) {
                    call();
                    self->arm_timer();
                }
            });
        return created;
    }

    proxied_request(traffic_context<Protocol>& context, const view_ptr& view,
                    const gateway::route& route, received_request request,
                    std::optional<gateway::session_limits> limits, answer_handler on_answer)
        : state_(context.state),
          timer_(context.thread->context()),
          session_transport_(context.pool, std::move(request.forwarded), request.request.id,
                             std::holds_alternative<gateway::gather_plan>(route.target)
                                 ? reply_fields::none
                                 : reply_fields::all,
                             std::move(on_answer)),
          session_(context.state, session_transport_, view, route, std::move(request.request),
                   limits) {}

    void prepare_delegation(delegated_gather_table& table, const view_ptr& view,
                            const gateway::route& route) {
        peer_delegation_transport::handlers handlers;
        handlers.on_report = [weak = this->weak_from_this()](const auto& report) {
            if (const auto self = weak.lock(); self != nullptr && self->delegation_) {
                self->delegation_->on_report(report, now());
                self->start_local_session_if_requested();
                self->arm_timer();
            }
        };
        handlers.gather_locally = [this](std::uint32_t max_attempts) {
            local_attempts_ = max_attempts;
        };
        handlers.answer = [this](gateway::gateway_answer answer) {
            session_transport_.answer(std::move(answer));
        };
        delegation_transport_.emplace(table, session_.request(), session_transport_.forwarded(),
                                      view->configuration->version, std::move(handlers));
        delegation_.emplace(state_, *delegation_transport_, view, route, session_.request());
    }

    /// Starts the local session if the delegation has requested local execution.
    void start_local_session_if_requested() {
        if (const auto attempts = std::exchange(local_attempts_, std::nullopt)) {
            delegation_.reset();
            session_.set_max_attempts(*attempts);
            session_.start(now());
        }
    }

    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        return delegation_ ? delegation_->next_timer() : session_.next_timer();
    }

    static kernel::time_point now() { return kernel::time_point::clock::now(); }

    /// Sets the timer if it would expire too late. If it expires too early, on_timer() sets it
    /// again, which costs less than setting it after each event.
    void arm_timer() {
        const auto next = next_timer();
        if (!next || (timer_expiry_ && *timer_expiry_ <= *next)) {
            return;
        }
        timer_expiry_ = next;
        timer_.expires_at(*next);
        timer_.async_wait([weak = this->weak_from_this()](const boost::system::error_code& ec) {
            const auto self = weak.lock();
            if (!ec && self != nullptr) {
                self->on_timer();
            }
        });
    }

    void on_timer() {
        timer_expiry_.reset();
        if (const auto due = next_timer(); due && *due <= now()) {
            if (delegation_) {
                delegation_->on_timer(now());
                start_local_session_if_requested();
            } else {
                session_.on_timer(now());
            }
        }
        arm_timer();
    }

    gateway::traffic_state& state_;
    boost::asio::steady_timer timer_;
    std::optional<kernel::time_point> timer_expiry_;
    backend_session_transport<Protocol> session_transport_;
    gateway::request_session<backend_session_transport<Protocol>> session_;
    std::optional<peer_delegation_transport> delegation_transport_;
    /// Present while a delegate executes the gather, and after it has answered.
    std::optional<gateway::gather_delegation<peer_delegation_transport>> delegation_;
    /// Set when the delegation has requested local execution: the maximum number of attempts of the
    /// local session for each shard.
    std::optional<std::uint32_t> local_attempts_;
};

}  // namespace poplarfront::proxy
