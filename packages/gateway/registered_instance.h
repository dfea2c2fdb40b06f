#pragma once

#include <compare>
#include <string>

namespace poplarfront::gateway {

/// An instance as described by its registration. Immutable.
struct registered_instance {
    std::string name;
    /// IP:PORT for messages from other instances.
    std::string address;
    std::string data_centre;
    /// Number of processor cores that it may use, possibly fractional; 0 if unknown.
    double capacity = 0;
    friend auto operator<=>(const registered_instance&, const registered_instance&) = default;
};

}  // namespace poplarfront::gateway
