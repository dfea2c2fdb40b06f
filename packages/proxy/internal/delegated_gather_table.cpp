#include "proxy/delegated_gather_table.h"

#include <limits>
#include <random>

#include "wire/gather_codec.h"

namespace poplarfront::proxy {

std::uint64_t delegated_gather_table::random_multiple_of(std::uint64_t n) {
    // Leaves room for the numbers that follow.
    constexpr auto max_first_number = std::numeric_limits<std::uint64_t>::max() / 2;
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> factor{0, max_first_number / n};
    return factor(source) * n;
}

void delegated_gather_table::warm_up_connections(const std::set<std::string>& addresses) {
    for (const auto& it : addresses) {
        if (!warmed_up_.contains(it)) {
            link_->send(it, wire::message_kind::gather_warm_up,
                        wire::encode_delegated_gather_reference({next_number(), reply_to_}));
        }
    }
    warmed_up_ = addresses;
}

std::uint64_t delegated_gather_table::send(const std::string& address,
                                           gateway::delegated_gather gather,
                                           report_handler on_report) {
    gather.number = next_number();
    gather.reply_to = reply_to_;
    report_handlers_.emplace(gather.number, std::move(on_report));
    link_->send(address, wire::message_kind::delegated_gather,
                wire::encode_delegated_gather(gather));
    return gather.number;
}

void delegated_gather_table::confirm(std::uint64_t number, const std::string& address) {
    link_->send(address, wire::message_kind::gather_confirmation,
                wire::encode_delegated_gather_reference({number, reply_to_}));
}

void delegated_gather_table::cancel(std::uint64_t number, const std::string& address,
                                    bool reports_missed) {
    report_handlers_.erase(number);
    if (reports_missed) {
        link_->reconnect(address);
    }
    link_->send(address, wire::message_kind::gather_cancel,
                wire::encode_gather_cancel({number, reply_to_, reports_missed}));
}

void delegated_gather_table::on_report(const gateway::gather_report& report) {
    const auto it = report_handlers_.find(report.number);
    if (it == report_handlers_.end()) {
        return;
    }
    // A copy, since the handler may remove the gather.
    const auto handler = it->second;
    if (report.status != gateway::gather_report::gather_status::in_progress) {
        report_handlers_.erase(it);
    }
    handler(report);
}

}  // namespace poplarfront::proxy
