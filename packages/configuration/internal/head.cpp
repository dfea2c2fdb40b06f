#include "configuration/head.h"

#include <algorithm>

namespace poplarfront::configuration {
namespace {

void drop_oldest_beyond_bound(std::vector<accepted_change>& recent) {
    std::size_t total = 0;
    auto oldest_kept = recent.end();
    while (oldest_kept != recent.begin()) {
        const auto it = std::prev(oldest_kept);
        total += it->change.bytes();
        if (total > max_recent_bytes) {
            break;
        }
        oldest_kept = it;
    }
    recent.erase(recent.begin(), oldest_kept);
}

}  // namespace

std::vector<accepted_change> merge_recent(const std::vector<accepted_change>& known,
                                          const std::vector<accepted_change>& later) {
    std::map<model::revision, accepted_change> by_revision;
    for (const auto* changes : {&known, &later}) {
        for (const auto& change : *changes) {
            by_revision.emplace(change.revision, change);
        }
    }
    std::vector<accepted_change> merged;
    for (auto& [revision, change] : by_revision) {
        merged.push_back(std::move(change));
    }
    drop_oldest_beyond_bound(merged);
    return merged;
}

section_head head::section(std::string_view name) const {
    const auto it = sections.find(name);
    return it == sections.end() ? section_head{} : it->second;
}

bool head::has_nonce(std::string_view nonce) const {
    return std::find(nonces.begin(), nonces.end(), nonce) != nonces.end();
}

head head::accept(const std::string& name, section_head next, delta change) const {
    auto result = *this;
    result.document_revision = document_revision.next();
    next.revision = result.document_revision;
    result.recent.push_back(
        {result.document_revision, section(name).revision, name, std::move(change)});
    drop_oldest_beyond_bound(result.recent);
    result.nonces.push_back(next.nonce);
    if (result.nonces.size() > max_recent_nonces) {
        result.nonces.erase(result.nonces.begin());
    }
    result.sections.insert_or_assign(name, std::move(next));
    return result;
}

head head::update_since(model::revision known) const {
    head result{deployment, document_revision, {}, {}, {}};
    for (const auto& [name, section] : sections) {
        result.sections.emplace(name, section_head{section.revision, {}, section.digest, {}});
    }
    std::map<std::string, bool, std::less<>> reaches_known;
    for (const auto& change : recent) {
        if (change.revision <= known) {
            continue;
        }
        const auto it = reaches_known.try_emplace(change.section, change.previous <= known).first;
        if (it->second) {
            result.recent.push_back(change);
        }
    }
    return result;
}

std::vector<section_blob> split_blob(const model::deployment_id& deployment,
                                     const std::string& section, const std::string& nonce,
                                     std::string_view text, std::size_t max_bytes) {
    const auto parts = std::max<std::size_t>(1, (text.size() + max_bytes - 1) / max_bytes);
    std::vector<section_blob> blobs;
    for (std::size_t part = 0; part < parts; ++part) {
        blobs.push_back({deployment, section, nonce, static_cast<std::uint32_t>(part),
                         static_cast<std::uint32_t>(parts),
                         std::string{text.substr(part * max_bytes, max_bytes)}});
    }
    return blobs;
}

}  // namespace poplarfront::configuration
