#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "gateway/gather_handover.h"
#include "proxy/gateway_protocol.h"
#include "proxy/order_book.h"

namespace poplarfront::proxy {

/// Carries out what the handover of one gather asks for: orders to gatherers, and the answer.
///
/// Thread safety: none; it belongs to one traffic thread.
class handover_calls {
public:
    struct handlers {
        order_book::report_handler on_report;
        /// The argument is the number of attempts for each shard.
        std::function<void(std::uint32_t)> gather_here;
        std::function<void(gateway::gateway_answer)> answer;
    };

    /// `book`, `request` and `forwarded` outlive it.
    handover_calls(order_book& book, const gateway::client_request& request,
                   const forwarded_request& forwarded, std::uint64_t configuration_version,
                   handlers handlers)
        : book_(book),
          request_(request),
          forwarded_(forwarded),
          configuration_version_(configuration_version),
          handlers_(std::move(handlers)) {}

    void order(const gateway::registered_instance& gatherer, gateway::session_terms terms) {
        const auto now = kernel::time_point::clock::now();
        gateway::gather_order order;
        order.configuration_version = configuration_version_;
        order.request_id = request_.id;
        order.host = request_.host;
        order.target = request_.target;
        order.fingerprint = request_.fingerprint;
        order.left_to_answer = terms.answer_at - now;
        order.left_to_end = terms.ends_at - now;
        order.max_attempts = terms.max_attempts;
        order.head = forwarded_.head;
        order.body = forwarded_.body;
        order.without_reply_body = forwarded_.without_reply_body;
        gatherer_ = gatherer.name;
        number_ = book_.place(gatherer.address, std::move(order), handlers_.on_report);
    }

    void confirm(const gateway::registered_instance& gatherer) {
        book_.confirm(number_, gatherer.address);
    }

    void withdraw(const gateway::registered_instance& gatherer, bool unheard) {
        book_.withdraw(number_, gatherer.address, unheard);
    }

    void gather_here(std::uint32_t max_attempts) { handlers_.gather_here(max_attempts); }

    void answer(gateway::gateway_answer answer) {
        book_.close(number_);
        answer.summary.gatherer = gatherer_;
        handlers_.answer(std::move(answer));
    }

private:
    order_book& book_;
    const gateway::client_request& request_;
    const forwarded_request& forwarded_;
    std::uint64_t configuration_version_;
    handlers handlers_;
    std::string gatherer_;
    std::uint64_t number_ = 0;
};

}  // namespace poplarfront::proxy
