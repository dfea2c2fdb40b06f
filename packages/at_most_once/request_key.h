#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/identifier.h"

namespace poplarfront::at_most_once {

/// Wall clock time as milliseconds since the epoch. Inputs carry it; this package reads no clock.
using wall_time = std::chrono::milliseconds;

/// A key is refused once it was issued longer ago than this.
inline constexpr wall_time max_key_age = std::chrono::hours{23};
/// A key issued further in the future than this is refused.
inline constexpr wall_time max_key_clock_skew = std::chrono::minutes{5};
/// Records are kept this long after their key was issued. The hour between max_key_age and this
/// covers differences between the instances' wall clocks.
inline constexpr wall_time default_retention = std::chrono::hours{24};

/// A text that is not a request key.
struct request_key_error {
    std::string message;
    friend auto operator<=>(const request_key_error&, const request_key_error&) = default;
};

enum class key_validity { valid, expired, not_yet_valid };

/// `<issued at, ms since the epoch>-<unique part>`, as the caller stated it. Immutable.
class request_key {
public:
    /// Errors: request_key_error if the issue time has no 1 to 15 digits without a leading zero, or
    /// if the unique part is not an identifier.
    static kernel::result<request_key> create(std::string_view text);

    [[nodiscard]] const std::string& text() const { return text_; }
    [[nodiscard]] wall_time issued() const { return issued_; }
    [[nodiscard]] std::string_view unique_part() const;

    /// Whether a request with this key may run at `now`.
    [[nodiscard]] key_validity validity(wall_time now) const;

    friend auto operator<=>(const request_key&, const request_key&) = default;

private:
    request_key(std::string text, wall_time issued) : text_(std::move(text)), issued_(issued) {}

    std::string text_;
    wall_time issued_;
};

/// What the store knows an action by. The hash of the searcher is kept apart from that of the key,
/// so that no choice of a key can match a record of another searcher.
struct claim_key {
    std::uint64_t searcher_hash = 0;
    std::uint64_t key_hash_low = 0;
    std::uint64_t key_hash_high = 0;
    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

[[nodiscard]] claim_key claim_key_of(const model::searcher_id& searcher, const request_key& key);

}  // namespace poplarfront::at_most_once
