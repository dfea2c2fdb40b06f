#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace poplarfront::gateway {

/// An instance as its registration describes it.
struct registered_instance {
    std::string name;
    /// IP:PORT for messages of other instances.
    std::string address;
    std::string data_centre;
    friend auto operator<=>(const registered_instance&, const registered_instance&) = default;
};

/// The instances of a data centre that read the store for all others of it, at most `count`. All
/// instances that know the same registrations choose the same ones. Thread-safe.
std::vector<registered_instance> readers_of(const std::string& data_centre,
                                            const std::vector<registered_instance>& instances,
                                            std::size_t count);

}  // namespace poplarfront::gateway
