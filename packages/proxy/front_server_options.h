#pragma once

#include <cstddef>
#include <string>

#include "kernel/concepts.h"

namespace poplarfront::proxy {

struct front_server_options {
    /// IP:PORT.
    std::string address;
    /// Whether the servers of several traffic threads listen on the address.
    bool share_address = false;
    /// Connections above this number are closed at once.
    std::size_t max_connections = 1024;
    /// Time after the beginning of a stop during which new requests are accepted. The load balancer
    /// needs two failed health checks, one a second, to take the instance out of rotation.
    kernel::duration stop_delay = std::chrono::milliseconds{2500};
    /// Time from the beginning of a stop until open requests are no longer waited for. Includes
    /// the stop delay.
    kernel::duration drain_timeout = std::chrono::milliseconds{5500};
    /// Maximum time after it for writing the last answers.
    kernel::duration last_answer_timeout = std::chrono::milliseconds{150};
};

}  // namespace poplarfront::proxy
