#pragma once

#include <optional>
#include <string>

#include "loadgen/load_options.h"

namespace poplarfront::loadgen {

struct command_line {
    load_options options;
    /// Empty if no JSON is asked for.
    std::string json_file;
    friend bool operator==(const command_line&, const command_line&) = default;
};

/// Parses the arguments. Nothing if the process should end with `exit_code`; help and mistakes have
/// then been printed.
std::optional<command_line> parse_command_line(int argc, char** argv, int& exit_code);

}  // namespace poplarfront::loadgen
