#include "gateway/top_records.h"

#include <algorithm>
#include <cstring>

namespace poplarfront::gateway {

std::string top_records(const std::vector<std::string_view>& parts, std::size_t count) {
    std::vector<const char*> records;
    for (const auto part : parts) {
        for (std::size_t at = 0; at + record_bytes <= part.size(); at += record_bytes) {
            records.push_back(part.data() + at);
        }
    }
    const auto kept = std::min(count, records.size());
    const auto middle = records.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(records.begin(), middle, records.end(), [](const char* a, const char* b) {
        return std::memcmp(a, b, record_bytes) > 0;
    });
    std::string merged;
    merged.reserve(kept * record_bytes);
    for (auto it = records.begin(); it != middle; ++it) {
        merged.append(*it, record_bytes);
    }
    return merged;
}

}  // namespace poplarfront::gateway
