#include "configuration/section_document.h"

#include "configuration/internal/section_entries.h"
#include "model/identifier.h"

namespace poplarfront::configuration {

kernel::result<section_document> section_document::parse(std::string_view section,
                                                         std::string_view text) {
    BOOST_LEAF_AUTO(parsed, internal::parse_entries(section, text));
    entry_map entries;
    for (auto& entry : parsed) {
        entries.emplace(entry_key{std::move(entry.section), std::move(entry.key)},
                        std::move(entry.value));
    }
    return section_document{std::move(entries)};
}

std::string section_document::text() const {
    std::string text;
    const std::string* header = nullptr;
    for (const auto& [entry, value] : entries_) {
        const bool same_header = header != nullptr && *header == entry.header;
        if (!same_header && !entry.header.empty()) {
            text.append("[").append(entry.header).append("]\n");
        }
        header = &entry.header;
        // No spaces around '=': inih would read a value that starts with ';' as a comment.
        text.append(entry.key).append("=").append(value).append("\n");
    }
    return text;
}

std::uint64_t digest_of(std::string_view canonical_text) {
    return model::stable_hash(canonical_text);
}

}  // namespace poplarfront::configuration
