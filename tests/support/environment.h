#pragma once

#include <cstdint>
#include <cstdlib>

namespace poplarfront::test_support {

/// The number in an environment variable; `fallback` if the variable is not set.
inline std::uint64_t number_from_environment(const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace poplarfront::test_support
