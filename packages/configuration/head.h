#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/delta.h"
#include "model/identifier.h"

namespace poplarfront::configuration {

/// The store key of the head.
inline const std::string head_key = "config/head";
/// Limits the size of the deltas in a head, so that the head fits into one store value.
inline constexpr std::size_t max_recent_delta_bytes = std::size_t{256} * 1024;
/// The number of latest accepted writes whose nonces a head lists.
inline constexpr std::size_t max_recent_nonces = 64;

/// The accepted state of one section.
struct section_head {
    /// The document revision at which the section was last changed.
    model::revision revision;
    /// The store keys of the parts of the canonical text, in order.
    std::vector<std::string> blob_keys;
    /// `digest_of` the canonical text.
    std::uint64_t digest = 0;
    /// The nonce of the accepted write.
    std::string nonce;
    friend auto operator<=>(const section_head&, const section_head&) = default;
};

/// An accepted change of one section.
struct accepted_change {
    /// The document revision that the change created.
    model::revision revision;
    /// The section's revision before the change.
    model::revision previous;
    std::string section;
    configuration::delta delta;
    friend auto operator<=>(const accepted_change&, const accepted_change&) = default;
};

/// The accepted state of all sections. A change is accepted by a compare-and-swap of this one store
/// value. Immutable.
struct head {
    model::deployment_id deployment;
    /// The revision of the whole configuration; each accepted change increases it by 1.
    model::revision document_revision;
    std::map<std::string, section_head, std::less<>> sections;
    /// The latest changes, oldest first.
    std::vector<accepted_change> recent_changes;
    /// The nonces of the latest accepted writes, oldest first.
    std::vector<std::string> nonces;

    /// The section's state; revision 0 if it was never written.
    [[nodiscard]] section_head section(std::string_view name) const;
    [[nodiscard]] bool has_nonce(std::string_view nonce) const;
    /// The next head, in which section `name` is changed by `change`. Ignores `next.revision` and
    /// uses the new document revision.
    [[nodiscard]] head accept(const std::string& name, section_head next, delta change) const;
    /// The update for a peer at revision `known`, without store keys and nonces. Omits the changes
    /// of a section if this head no longer keeps all of those since `known`.
    [[nodiscard]] head update_since(model::revision known) const;
    friend auto operator<=>(const head&, const head&) = default;
};

/// Merges both lists, oldest first, and drops the oldest changes beyond max_recent_delta_bytes.
[[nodiscard]] std::vector<accepted_change> merge_recent_changes(
    const std::vector<accepted_change>& known, const std::vector<accepted_change>& later);

/// A part of a section's canonical text, stored under its own key.
struct section_blob {
    model::deployment_id deployment;
    std::string section;
    std::string nonce;
    /// The index of this part, from 0.
    std::uint32_t part = 0;
    /// The number of parts of the text.
    std::uint32_t parts = 1;
    std::string text;
    friend auto operator<=>(const section_blob&, const section_blob&) = default;
};

/// Splits a section's canonical text into parts of at most `max_bytes`. Returns at least one part.
[[nodiscard]] std::vector<section_blob> split_into_blobs(const model::deployment_id& deployment,
                                                         const std::string& section,
                                                         const std::string& nonce,
                                                         std::string_view text,
                                                         std::size_t max_bytes);

}  // namespace poplarfront::configuration
