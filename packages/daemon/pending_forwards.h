#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "runtime/mailbox.h"
#include "wire/traffic_codec.h"

namespace poplarfront::daemon {

using action_mailbox = runtime::mailbox<wire::action_result>;

/// The mailboxes of the forwarded actions that wait for their home's result, by message id.
///
/// Thread safety: all members may be called from any thread.
class pending_forwards {
public:
    /// Returns the message id of a new forward; never 0.
    std::uint64_t add(std::shared_ptr<action_mailbox> mailbox) {
        const std::lock_guard lock{mutex_};
        mailboxes_.emplace(++last_id_, std::move(mailbox));
        return last_id_;
    }

    void remove(std::uint64_t message_id) {
        const std::lock_guard lock{mutex_};
        mailboxes_.erase(message_id);
    }

    /// Passes a result on; false if its forward has ended.
    bool deliver(wire::action_result result) {
        std::shared_ptr<action_mailbox> mailbox;
        {
            const std::lock_guard lock{mutex_};
            const auto it = mailboxes_.find(result.message_id);
            if (it == mailboxes_.end()) {
                return false;
            }
            mailbox = it->second;
        }
        mailbox->push(std::move(result));
        return true;
    }

private:
    std::mutex mutex_;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, std::shared_ptr<action_mailbox>> mailboxes_;
};

}  // namespace poplarfront::daemon
