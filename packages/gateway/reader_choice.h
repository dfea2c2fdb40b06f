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

/// The readers of all data centres, but for `own_name`. An instance that does not reach the store
/// asks these: others follow them and could tell only what they were told. Thread-safe.
std::vector<registered_instance> other_readers(const std::string& own_name,
                                               const std::vector<registered_instance>& instances,
                                               std::size_t count);

}  // namespace poplarfront::gateway
