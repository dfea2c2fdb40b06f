#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "gateway/gather_delegation.h"
#include "proxy/delegated_gather_table.h"
#include "proxy/gateway_protocol.h"

namespace poplarfront::proxy {

/// Carries out what the handover of one gather asks for: orders to delegates, and the answer.
///
/// Thread safety: none; it belongs to one traffic thread.
class delegation_calls {
public:
    struct handlers {
        delegated_gather_table::report_handler on_report;
        /// The argument is the number of attempts for each shard.
        std::function<void(std::uint32_t)> gather_locally;
        std::function<void(gateway::gateway_answer)> answer;
    };

    /// `book`, `request` and `forwarded` outlive it.
    delegation_calls(delegated_gather_table& book, const gateway::client_request& request,
                     const forwarded_request& forwarded, std::uint64_t configuration_version,
                     handlers handlers)
        : book_(book),
          request_(request),
          forwarded_(forwarded),
          configuration_version_(configuration_version),
          handlers_(std::move(handlers)) {}

    void send_gather(const gateway::registered_instance& delegate, gateway::session_limits limits) {
        const auto now = kernel::time_point::clock::now();
        gateway::delegated_gather order;
        order.configuration_version = configuration_version_;
        order.request_id = request_.id;
        order.host = request_.host;
        order.target = request_.target;
        order.fingerprint = request_.fingerprint;
        order.time_to_partial_deadline = limits.partial_deadline - now;
        order.time_to_final_deadline = limits.final_deadline - now;
        order.max_attempts = limits.max_attempts;
        order.head = forwarded_.head;
        order.body = forwarded_.body;
        order.without_reply_body = forwarded_.without_reply_body;
        delegate_ = delegate.name;
        number_ = book_.place(delegate.address, std::move(order), handlers_.on_report);
    }

    void confirm(const gateway::registered_instance& delegate) {
        book_.confirm(number_, delegate.address);
    }

    void cancel(const gateway::registered_instance& delegate, bool reports_missed) {
        book_.cancel(number_, delegate.address, reports_missed);
    }

    void gather_locally(std::uint32_t max_attempts) { handlers_.gather_locally(max_attempts); }

    void answer(gateway::gateway_answer answer) {
        book_.close(number_);
        answer.summary.delegate = delegate_;
        handlers_.answer(std::move(answer));
    }

private:
    delegated_gather_table& book_;
    const gateway::client_request& request_;
    const forwarded_request& forwarded_;
    std::uint64_t configuration_version_;
    handlers handlers_;
    std::string delegate_;
    std::uint64_t number_ = 0;
};

}  // namespace poplarfront::proxy
