#include "membership/gossip_message.h"

namespace poplarfront::membership {
namespace {

constexpr unsigned refutation_bits = 16;

}  // namespace

std::size_t max_encoded_size(const model::instance_info& row) {
    // The row's own tag and length, those of three texts, a 10-byte varint, and a status.
    constexpr std::size_t fixed_bytes = 3 + 3 * 2 + 11 + 2;
    return row.instance.text().size() + row.data_centre.text().size() + row.peer_address.size() +
           fixed_bytes;
}

model::incarnation first_incarnation(std::chrono::milliseconds since_epoch) {
    return {static_cast<std::uint64_t>(since_epoch.count()) << refutation_bits};
}

std::uint64_t process_start(model::incarnation incarnation) {
    return incarnation.value >> refutation_bits;
}

}  // namespace poplarfront::membership
