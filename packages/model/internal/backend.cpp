#include "model/backend.h"

namespace poplarfront::model {

std::string_view to_string(attempt_status status) {
    switch (status) {
        case attempt_status::ok:
            return "ok";
        case attempt_status::shed:
            return "shed";
        case attempt_status::draining:
            return "draining";
        case attempt_status::version_unavailable:
            return "version_unavailable";
        case attempt_status::wrong_map:
            return "wrong_map";
        case attempt_status::bad_request:
            return "bad_request";
        case attempt_status::not_sent:
            return "not_sent";
        case attempt_status::connection_lost:
            return "connection_lost";
        case attempt_status::timed_out:
            return "timed_out";
    }
    return "unknown";
}

bool certainly_not_executed(attempt_status status) {
    switch (status) {
        case attempt_status::shed:
        case attempt_status::draining:
        case attempt_status::version_unavailable:
        case attempt_status::wrong_map:
        case attempt_status::bad_request:
        case attempt_status::not_sent:
            return true;
        case attempt_status::ok:
        case attempt_status::connection_lost:
        case attempt_status::timed_out:
            return false;
    }
    return false;
}

}  // namespace poplarfront::model
