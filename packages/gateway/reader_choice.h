#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "gateway/registered_instance.h"

namespace poplarfront::gateway {

/// Chooses the readers of a data centre: at most `count` instances that read the store for all
/// others there. Instances that know the same registrations make the same choice. Thread-safe.
std::vector<registered_instance> readers_of(const std::string& data_centre,
                                            const std::vector<registered_instance>& instances,
                                            std::size_t count);

/// The readers of all data centres, except `own_name`. An instance that cannot reach the store asks
/// them, since all other instances only know what the readers have sent them. Thread-safe.
std::vector<registered_instance> other_readers(const std::string& own_name,
                                               const std::vector<registered_instance>& instances,
                                               std::size_t count);

}  // namespace poplarfront::gateway
