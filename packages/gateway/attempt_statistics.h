#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/request_part.h"
#include "gateway/route.h"
#include "gateway/traffic_state.h"

namespace poplarfront::gateway {

/// Records what the attempts of one request show about backend servers and about their route.
///
/// Not thread-safe; used by one traffic thread.
class attempt_statistics {
public:
    /// Precondition: `state` and `route` outlive this object.
    attempt_statistics(traffic_state& state, const route& route) : state_(state), route_(route) {}

    /// Records the result of an attempt. Returns the failure and the backend server, as
    /// FAILURE@SERVER; absent after a success.
    std::optional<std::string> on_result(const backend_attempt& attempt,
                                         const attempt_result& result, kernel::time_point now);
    /// Records that the attempts of a part are overdue.
    void on_overdue(const std::vector<backend_attempt>& attempts, std::size_t part,
                    kernel::time_point now);
    void on_cancelled(const backend_attempt& attempt, kernel::time_point now);

    /// The median latency of the route's attempts; zero while too few are known.
    [[nodiscard]] kernel::duration median_latency();
    /// How long after its sending an attempt is overdue.
    [[nodiscard]] kernel::duration hedge_delay();

private:
    /// Scales a latency by the median of the route, so that the latencies kept for each backend
    /// server are comparable between routes with different work.
    [[nodiscard]] kernel::duration normalised(kernel::duration latency);
    std::string record_failure(const backend_attempt& attempt, std::string_view failure);

    traffic_state& state_;
    const route& route_;
};

}  // namespace poplarfront::gateway
