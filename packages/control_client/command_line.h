#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"

namespace poplarfront::control_client {

/// Why a command line is invalid.
struct usage_error {
    std::string message;
    friend auto operator<=>(const usage_error&, const usage_error&) = default;
};

/// A parsed command line. If `help` or `version` is set, the command and its operands are not
/// parsed.
struct command_line {
    bool help = false;
    bool version = false;
    std::string command;
    /// The operand SECTION, or ADDRESS for the command `state`.
    std::string section_or_address;
    std::string file;
    /// IP:PORT of the store.
    std::string store;
    std::string deployment;
    /// Operator addresses of instances; if empty, those in the platform's instance list are used.
    std::vector<std::string> instances;
    std::optional<std::uint64_t> expected_revision;
    bool follow = false;
    std::chrono::milliseconds timeout{10'000};
    friend auto operator<=>(const command_line&, const command_line&) = default;
};

/// The text that --help prints.
[[nodiscard]] std::string_view usage_text();

/// Parses the arguments after the program name. Errors: usage_error. Not thread-safe, because
/// getopt_long keeps its state in globals.
kernel::result<command_line> parse_command_line(const std::vector<std::string>& arguments);

}  // namespace poplarfront::control_client
