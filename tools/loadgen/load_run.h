#pragma once

#include "loadgen/load_options.h"
#include "loadgen/load_report.h"

namespace poplarfront::loadgen {

/// Sends the planned requests at their times, whether or not earlier ones were answered, and checks
/// what comes back. Returns when all have been answered or their deadlines have passed; blocks the
/// calling thread, which must not run fibers.
/// Precondition: as for load_plan.
load_report run_load(const load_options& options);

}  // namespace poplarfront::loadgen
