#include "daemon/decoded_messages.h"

#include <spdlog/spdlog.h>

namespace poplarfront::daemon {

void log_message_refused(std::string_view sender, const wire::wire_error& error) {
    spdlog::warn("event=peer_message from={} outcome=refused field={} message=\"{}\"", sender,
                 error.field, error.message);
}

}  // namespace poplarfront::daemon
