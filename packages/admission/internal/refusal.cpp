#include "admission/refusal.h"

namespace poplarfront::admission {

std::string_view to_string(refusal_reason reason) {
    switch (reason) {
        case refusal_reason::no_time:
            return "no_time";
        case refusal_reason::queue_full:
            return "queue_full";
        case refusal_reason::no_share:
            return "no_share";
    }
    return "unknown";
}

}  // namespace poplarfront::admission
