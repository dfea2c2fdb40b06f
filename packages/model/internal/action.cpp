#include "model/action.h"

namespace poplarfront::model {

std::string_view to_string(action_status status) {
    switch (status) {
        case action_status::executed:
            return "executed";
        case action_status::already_executed:
            return "already_executed";
        case action_status::not_run:
            return "not_run";
        case action_status::unknown:
            return "unknown";
    }
    return "unknown";
}

}  // namespace poplarfront::model
