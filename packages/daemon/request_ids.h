#pragma once

#include <atomic>
#include <string>

#include "daemon/instance_identity.h"

namespace poplarfront::daemon {

/// Makes request ids that no other instance makes. Thread-safe.
class request_ids {
public:
    explicit request_ids(const instance_identity& identity)
        : prefix_(identity.instance.text() + "-" +
                  std::to_string(identity.incarnation_number.value) + "-") {}

    model::request_id next() {
        return model::request_id::trusted(prefix_ + std::to_string(++count_));
    }

private:
    std::string prefix_;
    std::atomic<std::uint64_t> count_ = 0;
};

}  // namespace poplarfront::daemon
