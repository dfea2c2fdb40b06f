#pragma once

#include <array>
#include <cstddef>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

struct crash_quarantine_options {
    /// Number of crashed backend servers at which a request is quarantined.
    std::size_t threshold = 3;
    /// Time after a lost connection in which a reply of the same process shows that it has not
    /// crashed. A process that restarts under the same id and start time takes longer.
    kernel::duration survival_window = std::chrono::milliseconds{700};
    /// Delay up to which a reply may have been sent before the crash, on another connection.
    kernel::duration max_reply_delay = std::chrono::milliseconds{20};
    /// Delay of each trial, counted from the last crash or trial that this instance knows of. After
    /// the last one the request stays quarantined. Each trial of a request that still crashes
    /// backend servers costs one, and the platform allows three after the quarantine.
    std::array<kernel::duration, 3> trial_delays{std::chrono::seconds{1}, std::chrono::seconds{10},
                                                 std::chrono::minutes{2}};
    /// How long after a lost connection a backend server is not used for a trial, which would fail
    /// for this reason.
    kernel::duration unfit_after_loss = std::chrono::seconds{3};
    /// How long a request waits for the decision on its trial.
    kernel::duration trial_claim_timeout = std::chrono::milliseconds{150};
    /// Age at which the records of a request that still arrives are written again. Must be less
    /// than the lifetime of records in the store.
    kernel::duration refresh_age = std::chrono::minutes{4};
    /// Lifetime of a crash that this instance has observed and that the store has not taken.
    kernel::duration unpublished_lifetime = std::chrono::minutes{10};
    /// Maximum number of requests with crashes that were observed here and are not in the store.
    std::size_t max_requests = 300;
};

}  // namespace poplarfront::gateway
