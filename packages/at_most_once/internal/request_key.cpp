#include "at_most_once/request_key.h"

#include <charconv>

namespace poplarfront::at_most_once {

kernel::result<request_key> request_key::create(std::string_view text) {
    // 15 digits reach beyond the year 30000 and cannot overflow.
    constexpr std::size_t max_digits = 15;
    const auto dash = text.find('-');
    const auto digits = text.substr(0, dash);
    std::int64_t issued = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), issued);
    const bool is_number = ec == std::errc{} && end == digits.data() + digits.size();
    if (dash == std::string_view::npos || !is_number || digits.size() > max_digits ||
        digits.front() < '1') {
        return boost::leaf::new_error(request_key_error{
            "a request key must start with its issue time in ms since the epoch and \"-\""});
    }
    if (!model::is_identifier(text.substr(dash + 1))) {
        return boost::leaf::new_error(
            request_key_error{"the unique part of a request key must be an identifier"});
    }
    return request_key{std::string{text}, wall_time{issued}};
}

std::string_view request_key::unique_part() const {
    return std::string_view{text_}.substr(text_.find('-') + 1);
}

key_validity request_key::validity(wall_time now) const {
    if (issued_ < now - max_key_age) {
        return key_validity::expired;
    }
    return issued_ > now + max_key_clock_skew ? key_validity::not_yet_valid : key_validity::valid;
}

claim_key claim_key_of(const model::searcher_id& searcher, const request_key& key) {
    constexpr std::uint64_t low_seed = 1;
    constexpr std::uint64_t high_seed = 0x9e3779b97f4a7c15ULL;
    return {model::stable_hash(searcher.text()), model::stable_hash(key.text(), low_seed),
            model::stable_hash(key.text(), high_seed)};
}

}  // namespace poplarfront::at_most_once
