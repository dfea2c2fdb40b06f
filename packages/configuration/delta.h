#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "configuration/section_document.h"

namespace poplarfront::configuration {

/// The entries that differ between two documents of one section. Immutable.
struct delta {
    /// The new value of each entry that is set; empty optional for an entry that is erased.
    std::map<entry_key, std::optional<std::string>> changes;

    [[nodiscard]] bool empty() const { return changes.empty(); }
    /// The estimated encoded size.
    [[nodiscard]] std::size_t estimated_size_bytes() const;
    friend auto operator<=>(const delta&, const delta&) = default;
};

/// The delta that turns `from` into `to`.
[[nodiscard]] delta difference(const section_document& from, const section_document& to);

/// The document with `change` applied.
[[nodiscard]] section_document apply(section_document document, const delta& change);

/// The delta equivalent to `first` followed by `second`.
[[nodiscard]] delta compose(const delta& first, const delta& second);

}  // namespace poplarfront::configuration
