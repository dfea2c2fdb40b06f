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

/// Gathers that one traffic thread has delegated to other instances.
///
/// Thread safety: none; it belongs to one traffic thread.
class delegated_gather_table {
public:
    using report_handler = std::function<void(const gateway::gather_report&)>;

    /// `reply_to`: IP:PORT at which this instance receives reports. Gathers are numbered from a
    /// random multiple of `thread_count` plus `thread_index` on, in steps of `thread_count`, so
    /// that the number in a report identifies the thread, and differs from all numbers of earlier
    /// processes at the same address.
    delegated_gather_table(std::shared_ptr<daemon::peer_link> link, std::string reply_to,
                           std::uint64_t thread_index, std::uint64_t thread_count)
        : link_(std::move(link)),
          reply_to_(std::move(reply_to)),
          next_number_(random_multiple_of(thread_count) + thread_index),
          number_step_(thread_count) {}

    /// Sends a warm-up message, which opens connections both ways, to each of these addresses that
    /// was not in the previous call. `addresses`: IP:PORT of the delegates.
    void warm_up_connections(const std::set<std::string>& addresses);

    /// Sends a gather to the instance at `address` (IP:PORT) and returns its number. Sets the
    /// `number` and `reply_to` of the gather.
    std::uint64_t send(const std::string& address, gateway::delegated_gather gather,
                       report_handler on_report);

    /// Tells the delegate that its first report has arrived.
    void confirm(std::uint64_t number, const std::string& address);

    /// Removes a gather and cancels it at its delegate. `reports_missed`: expected reports did not
    /// arrive, so both instances reopen their connections to each other.
    void cancel(std::uint64_t number, const std::string& address, bool reports_missed);

    /// Passes a report to the handler of its gather, and removes the gather if the report is its
    /// last one. Ignored if the gather was removed.
    void on_report(const gateway::gather_report& report);

    /// Number of gathers that wait for a report.
    [[nodiscard]] std::size_t size() const { return report_handlers_.size(); }

private:
    static std::uint64_t random_multiple_of(std::uint64_t n);

    std::uint64_t next_number() { return std::exchange(next_number_, next_number_ + number_step_); }

    std::shared_ptr<daemon::peer_link> link_;
    std::string reply_to_;
    std::uint64_t next_number_;
    std::uint64_t number_step_;
    std::map<std::uint64_t, report_handler> report_handlers_;
    std::set<std::string> warmed_up_;
};

}  // namespace poplarfront::proxy
