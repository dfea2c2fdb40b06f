#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <variant>

#include "model/identifier.h"
#include "routing/sub_query.h"
#include "runtime/mailbox.h"

namespace poplarfront::daemon {

/// An owner to which a batch could not be sent.
struct owner_lost {
    model::instance_id owner;
    friend auto operator<=>(const owner_lost&, const owner_lost&) = default;
};

/// Queries were put into quarantine.
struct quarantine_changed {
    friend auto operator<=>(const quarantine_changed&, const quarantine_changed&) = default;
};

using session_event = std::variant<routing::sub_query_result, owner_lost, quarantine_changed>;
using session_mailbox = runtime::mailbox<session_event>;

/// The mailboxes of the searches that wait for results of other instances, by request.
///
/// Thread safety: all members may be called from any thread.
class pending_batches {
public:
    /// Precondition: the request is not yet pending.
    void add(const model::request_id& request, std::shared_ptr<session_mailbox> mailbox) {
        const std::lock_guard lock{mutex_};
        mailboxes_.insert_or_assign(request, std::move(mailbox));
    }

    void remove(const model::request_id& request) {
        const std::lock_guard lock{mutex_};
        mailboxes_.erase(request);
    }

    /// Passes a result or a loss on; false if its search has ended.
    bool deliver(const model::request_id& request, session_event event) {
        std::shared_ptr<session_mailbox> mailbox;
        {
            const std::lock_guard lock{mutex_};
            const auto it = mailboxes_.find(request);
            if (it == mailboxes_.end()) {
                return false;
            }
            mailbox = it->second;
        }
        mailbox->push(std::move(event));
        return true;
    }

private:
    std::mutex mutex_;
    std::map<model::request_id, std::shared_ptr<session_mailbox>> mailboxes_;
};

}  // namespace poplarfront::daemon
