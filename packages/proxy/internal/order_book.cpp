#include "proxy/order_book.h"

#include "wire/gather_codec.h"

namespace poplarfront::proxy {

void order_book::greet(const std::set<std::string>& addresses) {
    for (const auto& it : addresses) {
        if (!greeted_.contains(it)) {
            link_->send(it, wire::message_kind::gather_greeting,
                        wire::encode_order_reference({next_number(), reply_to_}));
        }
    }
    greeted_ = addresses;
}

std::uint64_t order_book::place(const std::string& address, gateway::gather_order order,
                                report_handler on_report) {
    order.number = next_number();
    order.reply_to = reply_to_;
    open_.emplace(order.number, std::move(on_report));
    link_->send(address, wire::message_kind::gather_order, wire::encode_gather_order(order));
    return order.number;
}

void order_book::confirm(std::uint64_t number, const std::string& address) {
    link_->send(address, wire::message_kind::gather_confirmation,
                wire::encode_order_reference({number, reply_to_}));
}

void order_book::withdraw(std::uint64_t number, const std::string& address, bool unheard) {
    open_.erase(number);
    if (unheard) {
        link_->reconnect(address);
    }
    link_->send(address, wire::message_kind::gather_cancel,
                wire::encode_gather_cancel({number, reply_to_, unheard}));
}

void order_book::on_report(const gateway::gather_report& report) {
    const auto it = open_.find(report.number);
    if (it != open_.end()) {
        // The handler may forget the order.
        const auto handler = it->second;
        handler(report);
    }
}

}  // namespace poplarfront::proxy
