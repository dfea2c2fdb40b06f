#include "support/eventually.h"

#include <thread>

namespace poplarfront::test_support {

bool eventually(std::chrono::milliseconds limit, const std::function<bool()>& condition) {
    constexpr std::chrono::milliseconds interval{10};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(interval);
    }
    return true;
}

}  // namespace poplarfront::test_support
