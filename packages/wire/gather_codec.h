#pragma once

#include <string>
#include <string_view>

#include "gateway/delegated_gather.h"
#include "kernel/result.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

// Payloads of the messages between the instance that a client is connected to and the delegate
// that gathers for it. Durations are encoded in microseconds, negative ones as zero, and decoded as
// at most one day. All functions are thread-safe. Decoding errors are wire_error, without a field
// if the bytes are malformed.

std::string encode_delegated_gather(const gateway::delegated_gather& gather);
kernel::result<gateway::delegated_gather> decode_delegated_gather(std::string_view bytes);

std::string encode_delegated_gather_reference(const gateway::delegated_gather_reference& reference);
kernel::result<gateway::delegated_gather_reference> decode_delegated_gather_reference(
    std::string_view bytes);

std::string encode_gather_cancel(const gateway::gather_cancel& cancel);
kernel::result<gateway::gather_cancel> decode_gather_cancel(std::string_view bytes);

/// `report.answer.reply` is not encoded, because the answer in a report is never of kind passed_on.
std::string encode_gather_report(const gateway::gather_report& report);
kernel::result<gateway::gather_report> decode_gather_report(std::string_view bytes);

}  // namespace poplarfront::wire
