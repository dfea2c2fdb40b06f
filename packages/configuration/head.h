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
/// Bound of the deltas that a head keeps, so that the head fits into one store value.
inline constexpr std::size_t max_recent_bytes = std::size_t{256} * 1024;
/// Acceptances whose writers can still find their nonce in the head.
inline constexpr std::size_t max_recent_nonces = 64;

/// The accepted state of one section.
struct section_head {
    /// The document revision at which the section was last changed.
    model::revision revision;
    /// The store keys of the parts of the canonical text, in order.
    std::vector<std::string> blob_keys;
    /// digest_of the canonical text.
    std::uint64_t digest = 0;
    /// Names the write that was accepted.
    std::string nonce;
    friend auto operator<=>(const section_head&, const section_head&) = default;
};

/// One acceptance: how a section changed.
struct accepted_change {
    /// The document revision that the change created.
    model::revision revision;
    /// The section's revision before the change.
    model::revision previous;
    std::string section;
    delta change;
    friend auto operator<=>(const accepted_change&, const accepted_change&) = default;
};

/// What is accepted. The one value whose compare-and-swap accepts a change. Immutable.
struct head {
    model::deployment_id deployment;
    model::revision document_revision;
    std::map<std::string, section_head, std::less<>> sections;
    /// The latest changes, oldest first.
    std::vector<accepted_change> recent;
    /// The nonces of the latest acceptances, oldest first.
    std::vector<std::string> nonces;

    /// The section's state; revision 0 if it was never written.
    [[nodiscard]] section_head section(std::string_view name) const;
    [[nodiscard]] bool has_nonce(std::string_view nonce) const;
    /// The head after `name` has changed. `next.revision` is set to the new document revision.
    [[nodiscard]] head accept(const std::string& name, section_head next, delta change) const;
    /// What a peer that has `known` needs, without store keys and nonces. The changes of a section
    /// are left out if some that the peer needs are no longer kept.
    [[nodiscard]] head update_since(model::revision known) const;
    friend auto operator<=>(const head&, const head&) = default;
};

/// The latest changes of both lists within max_recent_bytes, oldest first.
[[nodiscard]] std::vector<accepted_change> merge_recent(const std::vector<accepted_change>& known,
                                                        const std::vector<accepted_change>& later);

/// A part of a section's canonical text as the store keeps it.
struct section_blob {
    model::deployment_id deployment;
    std::string section;
    std::string nonce;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string text;
    friend auto operator<=>(const section_blob&, const section_blob&) = default;
};

/// Splits a section's canonical text into parts of at most `max_bytes`; at least one.
[[nodiscard]] std::vector<section_blob> split_blob(const model::deployment_id& deployment,
                                                   const std::string& section,
                                                   const std::string& nonce, std::string_view text,
                                                   std::size_t max_bytes);

}  // namespace poplarfront::configuration
