#pragma once

#include <cstddef>
#include <string>

#include "kernel/concepts.h"

namespace poplarfront::proxy {

struct front_server_options {
    /// IP:PORT.
    std::string address;
    /// Connections above this number are closed at once.
    std::size_t max_connections = 1024;
    /// How long after the beginning of a stop new requests are still taken: the balancer needs two
    /// failed checks, one a second, to notice.
    kernel::duration stop_delay = std::chrono::milliseconds{2500};
    /// How long after the beginning of a stop requests under way may take.
    kernel::duration drain = std::chrono::milliseconds{5500};
};

}  // namespace poplarfront::proxy
