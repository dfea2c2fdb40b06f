#pragma once

namespace poplarfront::control_client {

/// The exit codes of poplarctl.
enum class exit_code {
    /// The command succeeded: the text is valid or accepted, or the revision is in force.
    success = 0,
    refused = 1,
    conflict = 2,
    /// The result is not known before the deadline, or some instances do not have the revision yet.
    unknown = 3,
    /// The command line is invalid or the file cannot be read; EX_USAGE of sysexits.h.
    usage = 64,
};

}  // namespace poplarfront::control_client
