#pragma once

namespace poplarfront::control_client {

/// The exit codes of poplarctl.
enum class exit_code {
    /// The command succeeded: the text is valid or accepted, or the revision is in force.
    success = 0,
    refused = 1,
    conflict = 2,
    /// The store or some instances did not answer in time.
    unknown = 3,
    /// The same value as EX_USAGE in sysexits.h.
    usage = 64,
};

}  // namespace poplarfront::control_client
