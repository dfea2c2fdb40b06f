#include "bench/run_types.h"
#include "bench/tier.h"
#include "bench/tier_attempts.h"
#include "bench/tier_events.h"
#include "bench/tier_queries.h"

namespace poplarfront::bench {

std::string_view to_string(scenario which) {
    switch (which) {
        case scenario::steady:
            return "steady";
        case scenario::straggler:
            return "straggler";
        case scenario::lost_replica:
            return "lost replica";
        case scenario::surge:
            return "surge";
        case scenario::replacement:
            return "replacement";
        case scenario::store_outage:
            return "store outage";
        case scenario::repartition:
            return "repartition";
    }
    return "";
}

run_result run_deployed(const run_options& options) {
    return tier<deployed_policy>(options).run();
}

run_result run_baseline(const run_options& options) {
    return tier<baseline_policy>(options).run();
}

}  // namespace poplarfront::bench
