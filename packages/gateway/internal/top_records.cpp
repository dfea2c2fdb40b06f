#include "gateway/top_records.h"

#include <algorithm>
#include <cstring>

namespace poplarfront::gateway {

std::string top_records(const std::vector<std::string_view>& parts, std::size_t count) {
    std::vector<const char*> records;
    for (const auto part : parts) {
        for (std::size_t offset = 0; offset + record_bytes <= part.size(); offset += record_bytes) {
            records.push_back(part.data() + offset);
        }
    }
    const auto kept_count = std::min(count, records.size());
    const auto kept_end = records.begin() + static_cast<std::ptrdiff_t>(kept_count);
    std::partial_sort(records.begin(), kept_end, records.end(), [](const char* a, const char* b) {
        return std::memcmp(a, b, record_bytes) > 0;
    });
    std::string merged;
    merged.reserve(kept_count * record_bytes);
    for (auto it = records.begin(); it != kept_end; ++it) {
        merged.append(*it, record_bytes);
    }
    return merged;
}

}  // namespace poplarfront::gateway
