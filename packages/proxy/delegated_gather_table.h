#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "daemon/peer_link.h"
#include "gateway/delegated_gather.h"

namespace poplarfront::proxy {

/// The orders of one traffic thread that delegates work on.
///
/// Thread safety: none; it belongs to one traffic thread.
class delegated_gather_table {
public:
    using report_handler = std::function<void(const gateway::gather_report&)>;

    /// `reply_to`: IP:PORT at which this instance takes reports. Numbers of orders are `index` and
    /// each `threads`-th one after it, so that a report shows the thread it belongs to.
    delegated_gather_table(std::shared_ptr<daemon::peer_link> link, std::string reply_to,
                           std::uint64_t index, std::uint64_t threads)
        : link_(std::move(link)), reply_to_(std::move(reply_to)), next_(index), step_(threads) {}

    /// Opens connections to the delegates at these addresses that were not greeted before.
    void warm_up_connections(const std::set<std::string>& addresses);

    /// Sends an order to the instance at IP:PORT and returns its number. The order's own number and
    /// address for reports are set here.
    std::uint64_t place(const std::string& address, gateway::delegated_gather order,
                        report_handler on_report);

    /// Tells the delegate that its report has arrived.
    void confirm(std::uint64_t number, const std::string& address);

    /// Forgets an order without a word: its last report is in.
    void close(std::uint64_t number) { open_.erase(number); }

    /// Forgets an order and tells its delegate. `reports_missed`: reports are missing, so that the
    /// connections both ways are opened anew.
    void cancel(std::uint64_t number, const std::string& address, bool reports_missed);

    /// Passes a report on; one of an order that was forgotten is ignored.
    void on_report(const gateway::gather_report& report);

private:
    std::uint64_t next_number() { return std::exchange(next_, next_ + step_); }

    std::shared_ptr<daemon::peer_link> link_;
    std::string reply_to_;
    std::uint64_t next_;
    std::uint64_t step_;
    std::map<std::uint64_t, report_handler> open_;
    std::set<std::string> warmed_up_;
};

}  // namespace poplarfront::proxy
