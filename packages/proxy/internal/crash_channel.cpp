#include "proxy/crash_channel.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace poplarfront::proxy {

void crash_channel::publish(const gateway::crash_table_change& change) const {
    boost::asio::post(control_->context(),
                      [handlers = handlers_, change] { handlers->change(change); });
}

void crash_channel::claim(const gateway::crash_trial& trial, claim_reply reply) const {
    boost::asio::post(control_->context(), [handlers = handlers_, trial, reply = std::move(reply)] {
        handlers->claim(trial, reply);
    });
}

}  // namespace poplarfront::proxy
