#pragma once

#include <chrono>
#include <functional>

namespace poplarfront::test_support {

/// Whether `condition` becomes true within the limit.
bool eventually(std::chrono::milliseconds limit, const std::function<bool()>& condition);

}  // namespace poplarfront::test_support
