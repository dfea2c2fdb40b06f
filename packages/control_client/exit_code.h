#pragma once

namespace poplarfront::control_client {

/// The exit codes of poplarctl.
enum class exit_code {
    /// Accepted, in force, or nothing to complain about.
    success = 0,
    refused = 1,
    conflict = 2,
    /// The store or some instances did not answer in time.
    unknown = 3,
    /// sysexits.h EX_USAGE
    usage = 64,
};

}  // namespace poplarfront::control_client
