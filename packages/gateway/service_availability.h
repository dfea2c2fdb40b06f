#pragma once

#include "gateway/request_parts.h"
#include "gateway/traffic_state.h"

namespace poplarfront::gateway {

/// Whether at least one backend server of the part takes requests. Not thread-safe, as
/// `traffic_state`.
[[nodiscard]] bool is_servable(const request_part& part, const traffic_state& state,
                               kernel::time_point now);

/// Whether as many parts as an answer needs are servable. Not thread-safe.
[[nodiscard]] bool is_servable(const request_parts& parts, const traffic_state& state,
                               kernel::time_point now);

/// How long it takes until the announced pauses of backend servers are over for so many parts that
/// as many as an answer needs are servable. Zero if that does not depend on pauses. Precondition:
/// there are parts. Not thread-safe.
[[nodiscard]] kernel::duration time_until_servable(const request_parts& parts,
                                                   const traffic_state& state,
                                                   kernel::time_point now);

}  // namespace poplarfront::gateway
