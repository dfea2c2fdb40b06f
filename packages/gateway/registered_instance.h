#pragma once

#include <compare>
#include <string>

namespace poplarfront::gateway {

/// An instance as its registration describes it. Immutable.
struct registered_instance {
    std::string name;
    /// IP:PORT for messages of other instances.
    std::string address;
    std::string data_centre;
    /// Processor cores that it may use; 0 if unknown.
    double capacity = 0;
    friend auto operator<=>(const registered_instance&, const registered_instance&) = default;
};

}  // namespace poplarfront::gateway
