#include "configuration/delta.h"

namespace poplarfront::configuration {

std::size_t delta::estimated_size_bytes() const {
    // Estimated field tags and lengths of one encoded entry.
    constexpr std::size_t entry_overhead_bytes = 12;
    std::size_t total = 0;
    for (const auto& [entry, value] : changes) {
        total += entry.header.size() + entry.key.size() + entry_overhead_bytes;
        total += value ? value->size() : 0;
    }
    return total;
}

delta difference(const section_document& from, const section_document& to) {
    delta result;
    for (const auto& [entry, value] : to.entries()) {
        const auto it = from.entries().find(entry);
        if (it == from.entries().end() || it->second != value) {
            result.changes.emplace(entry, value);
        }
    }
    for (const auto& [entry, value] : from.entries()) {
        if (!to.entries().contains(entry)) {
            result.changes.emplace(entry, std::nullopt);
        }
    }
    return result;
}

section_document apply(section_document document, const delta& change) {
    auto entries = std::move(document).entries();
    for (const auto& [entry, value] : change.changes) {
        if (value) {
            entries.insert_or_assign(entry, *value);
        } else {
            entries.erase(entry);
        }
    }
    return section_document{std::move(entries)};
}

delta compose(const delta& first, const delta& second) {
    auto result = first;
    for (const auto& [entry, value] : second.changes) {
        result.changes.insert_or_assign(entry, value);
    }
    return result;
}

}  // namespace poplarfront::configuration
