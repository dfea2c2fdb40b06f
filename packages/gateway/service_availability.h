#pragma once

#include <cstddef>
#include <vector>

#include "gateway/request_part.h"
#include "gateway/traffic_state.h"

namespace poplarfront::gateway {

/// Whether at least one backend server of the part takes requests. Not thread-safe, as
/// `traffic_state`.
[[nodiscard]] bool is_servable(const request_part& part, const traffic_state& state,
                               kernel::time_point now);

[[nodiscard]] std::size_t servable_part_count(const std::vector<request_part>& parts,
                                              const traffic_state& state, kernel::time_point now);

/// How long it takes until the announced pauses of backend servers are over for so many parts that
/// `needed` parts are servable. Zero if that does not depend on pauses. Precondition: `needed` is
/// at least 1 and at most the number of parts. Not thread-safe.
[[nodiscard]] kernel::duration time_until_servable(const std::vector<request_part>& parts,
                                                   std::size_t needed, const traffic_state& state,
                                                   kernel::time_point now);

}  // namespace poplarfront::gateway
