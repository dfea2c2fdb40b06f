#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/request_session.h"
#include "proxy/backend_pool.h"
#include "proxy/gateway_protocol.h"

namespace poplarfront::proxy {

/// The transport of one request's session: sends its attempts to backend servers and passes its
/// answer on.
///
/// Thread safety: none; it belongs to one traffic thread.
template <gateway_protocol Protocol>
class backend_session_transport {
public:
    using answer_handler = std::function<void(gateway::gateway_answer)>;

    backend_session_transport(backend_pool<Protocol>& pool, forwarded_request forwarded,
                              std::string id, reply_fields fields, answer_handler on_answer)
        : pool_(pool),
          forwarded_(std::move(forwarded)),
          id_(std::move(id)),
          fields_(fields),
          on_answer_(std::move(on_answer)) {}

    /// Creates the handler for the result of one attempt. The handler keeps the session alive.
    using result_handler_factory =
        std::function<std::function<void(gateway::attempt_result)>(gateway::attempt_number)>;
    /// Precondition: called before the first `send`.
    void set_result_handler_factory(result_handler_factory factory) {
        make_result_handler_ = std::move(factory);
    }

    /// Precondition: attempts are numbered from 0 in the order of their sending.
    void send(gateway::attempt_number attempt, const gateway::backend_entry& backend,
              kernel::time_point deadline) {
        backend_call call;
        call.request_bytes = Protocol::encode_backend_request(
            forwarded_, backend, deadline - kernel::time_point::clock::now());
        call.request_id = id_;
        call.fields = fields_;
        call.without_reply_body = forwarded_.without_reply_body;
        call.deadline = deadline;
        call.on_result = make_result_handler_(attempt);
        calls_.push_back(pool_.start(backend, std::move(call), calls_));
    }

    using probe_handler_factory =
        std::function<std::function<void(bool accepts_connections)>(gateway::attempt_number)>;
    /// Precondition: called before the first `probe`.
    void set_probe_handler_factory(probe_handler_factory factory) {
        make_probe_handler_ = std::move(factory);
    }

    void probe(gateway::attempt_number attempt, const gateway::backend_entry& backend) {
        pool_.probe(backend, make_probe_handler_(attempt));
    }

    /// Runs a call of the session while its owner is kept alive.
    using session_caller = std::function<void(const std::function<void()>& call)>;
    /// Precondition: called before the session is started.
    void set_session_caller(session_caller caller) { session_caller_ = std::move(caller); }

    void call_session(const std::function<void()>& call) {
        // A copy, since the call may release the owner of this transport.
        const auto caller = session_caller_;
        caller(call);
    }

    void cancel(gateway::attempt_number attempt) { pool_.cancel(calls_.at(attempt)); }

    void answer(gateway::gateway_answer answer) {
        if (auto handler = std::exchange(on_answer_, nullptr)) {
            handler(std::move(answer));
        }
    }

    [[nodiscard]] const forwarded_request& forwarded() const { return forwarded_; }

    /// An answer that is given later is dropped.
    void discard_answer() { on_answer_ = nullptr; }

private:
    backend_pool<Protocol>& pool_;
    forwarded_request forwarded_;
    std::string id_;
    reply_fields fields_;
    answer_handler on_answer_;
    result_handler_factory make_result_handler_;
    probe_handler_factory make_probe_handler_;
    session_caller session_caller_;
    std::vector<typename backend_pool<Protocol>::call_handle> calls_;
};

}  // namespace poplarfront::proxy
