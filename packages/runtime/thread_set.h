#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "runtime/fiber_thread.h"

namespace poplarfront::runtime {

/// The threads of a process: one for control state and others for traffic.
struct thread_set {
    std::shared_ptr<fiber_thread> control;
    /// Never empty.
    std::vector<std::shared_ptr<fiber_thread>> traffic;
};

}  // namespace poplarfront::runtime
