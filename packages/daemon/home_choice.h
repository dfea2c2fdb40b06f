#pragma once

#include "model/action.h"
#include "model/instance_view.h"

namespace poplarfront::daemon {

/// The instance that claims and sends an action: the home of its bucket among the alive instances,
/// or among the suspect ones if none is alive. An action that no other instance can take, or whose
/// key is malformed, stays with `self`. Thread-safe.
[[nodiscard]] model::instance_id home_for(const model::action_request& action,
                                          const model::instance_view& view,
                                          const model::instance_id& self);

}  // namespace poplarfront::daemon
