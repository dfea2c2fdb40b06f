#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "control_client/exit_code.h"

namespace poplarfront::control_client {

/// Runs poplarctl with the arguments after the program name. Precondition: not called on a fiber.
exit_code run(const std::vector<std::string>& arguments, const std::string& version,
              std::ostream& out, std::ostream& err);

}  // namespace poplarfront::control_client
