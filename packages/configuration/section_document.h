#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "configuration/section_error.h"
#include "kernel/result.h"

namespace poplarfront::configuration {

/// The header and key of an entry in a section.
struct entry_key {
    std::string header;
    std::string key;
    friend auto operator<=>(const entry_key&, const entry_key&) = default;
};

/// The entries of one section, sorted. Two texts that differ only in order, spacing or comments are
/// equal documents. Immutable.
class section_document {
public:
    using entry_map = std::map<entry_key, std::string>;

    /// An empty section.
    section_document() = default;
    /// Precondition: the entries come from parsed sections.
    explicit section_document(entry_map entries) : entries_(std::move(entries)) {}

    /// Errors: section_error for a syntax error or a repeated key. Does not check the schema.
    static kernel::result<section_document> parse(std::string_view section, std::string_view text);

    /// The canonical INI text: parsing it gives an equal document.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] const entry_map& entries() const& { return entries_; }
    /// Moves the entries out of a document that is no longer needed.
    [[nodiscard]] entry_map entries() && { return std::move(entries_); }

    friend auto operator<=>(const section_document&, const section_document&) = default;

private:
    entry_map entries_;
};

/// A non-cryptographic hash of canonical text: it detects accidental differences, not forged ones.
[[nodiscard]] std::uint64_t digest_of(std::string_view canonical_text);

}  // namespace poplarfront::configuration
