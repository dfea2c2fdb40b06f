#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "gateway/registered_instance.h"

namespace poplarfront::gateway {

/// The instances of a data centre that read the store for all others of it, at most `count`. All
/// instances that know the same registrations choose the same ones. Thread-safe.
std::vector<registered_instance> readers_of(const std::string& data_centre,
                                            const std::vector<registered_instance>& instances,
                                            std::size_t count);

}  // namespace poplarfront::gateway
