#pragma once

#include <string>

namespace poplarfront::test_support {

/// IP:PORT on loopback that is free now. The port is below those that the system gives to outgoing
/// connections, which could take it while a process is down.
std::string free_address();

}  // namespace poplarfront::test_support
