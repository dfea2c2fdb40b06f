#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "gateway/gather_delegation.h"
#include "proxy/delegated_gather_table.h"
#include "proxy/gateway_protocol.h"

namespace poplarfront::proxy {

/// The transport of one gather's delegation: sends it to delegates and passes its answer on.
///
/// Thread safety: none; it belongs to one traffic thread.
class peer_delegation_transport {
public:
    struct handlers {
        delegated_gather_table::report_handler on_report;
        /// The argument is the maximum number of attempts for each shard.
        std::function<void(std::uint32_t)> gather_locally;
        std::function<void(gateway::gateway_answer)> answer;
    };

    /// `table`, `request` and `forwarded` outlive this object.
    peer_delegation_transport(delegated_gather_table& table, const gateway::client_request& request,
                              const forwarded_request& forwarded,
                              std::uint64_t configuration_version, handlers handlers)
        : table_(table),
          request_(request),
          forwarded_(forwarded),
          configuration_version_(configuration_version),
          handlers_(std::move(handlers)) {}

    void send_gather(const gateway::registered_instance& delegate, gateway::session_limits limits) {
        const auto now = kernel::time_point::clock::now();
        gateway::delegated_gather gather;
        gather.configuration_version = configuration_version_;
        gather.request_id = request_.id;
        gather.host = request_.host;
        gather.target = request_.target;
        gather.fingerprint = request_.fingerprint;
        gather.time_to_partial_deadline = limits.partial_deadline - now;
        gather.time_to_final_deadline = limits.final_deadline - now;
        gather.max_attempts = limits.max_attempts;
        gather.head = forwarded_.head;
        gather.body = forwarded_.body;
        gather.without_reply_body = forwarded_.without_reply_body;
        delegate_name_ = delegate.name;
        number_ = table_.send(delegate.address, std::move(gather), handlers_.on_report);
    }

    void confirm(const gateway::registered_instance& delegate) {
        table_.confirm(number_, delegate.address);
    }

    void cancel(const gateway::registered_instance& delegate, bool reports_missed) {
        table_.cancel(number_, delegate.address, reports_missed);
    }

    void gather_locally(std::uint32_t max_attempts) { handlers_.gather_locally(max_attempts); }

    void answer(gateway::gateway_answer answer) {
        answer.summary.delegate = delegate_name_;
        handlers_.answer(std::move(answer));
    }

private:
    delegated_gather_table& table_;
    const gateway::client_request& request_;
    const forwarded_request& forwarded_;
    std::uint64_t configuration_version_;
    handlers handlers_;
    std::string delegate_name_;
    std::uint64_t number_ = 0;
};

}  // namespace poplarfront::proxy
