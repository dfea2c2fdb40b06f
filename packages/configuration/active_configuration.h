#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration_snapshot.h"
#include "configuration/head.h"
#include "configuration/section_schema.h"

namespace poplarfront::configuration {

enum class apply_status {
    /// The head is now active.
    applied,
    /// Nothing changed: the head is not newer than the active one.
    stale,
    /// Nothing changed: the deltas do not lead from the active content to the head's, so whole
    /// sections are needed.
    needs_sections,
    /// Nothing changed: the head belongs to another deployment, has an invalid section, or changes
    /// a
    /// section without a newer revision of it.
    refused,
};

struct apply_outcome {
    apply_status status = apply_status::stale;
    /// The sections whose whole text is needed, if the status is needs_sections.
    std::vector<std::string> missing;
    /// The error, if the status is refused.
    std::string reason;
    friend auto operator<=>(const apply_outcome&, const apply_outcome&) = default;
};

/// The active configuration of an instance. Its revision never decreases.
///
/// Thread safety: used on the control thread; snapshots may be read on any thread.
class active_configuration {
public:
    explicit active_configuration(model::deployment_id deployment);

    /// Activates all sections of a head together, or none of them. A changed section is computed
    /// from the deltas in the head, or else taken from `texts`, which holds whole canonical texts
    /// at the head's revisions. Content whose digest differs from the head's is not used.
    apply_outcome apply(const head& update, const section_texts& texts = {});

    [[nodiscard]] model::revision revision() const { return head_.document_revision; }
    /// Never null.
    [[nodiscard]] std::shared_ptr<const configuration_snapshot> snapshot() const {
        return snapshot_;
    }
    /// The active head; its recent changes include those merged from earlier heads.
    [[nodiscard]] const head& active_head() const { return head_; }
    /// The active canonical text; empty optional if the section was never written.
    [[nodiscard]] std::optional<std::string> section_text(std::string_view name) const;

private:
    /// The canonical text at `target`; empty optional if the deltas do not lead to it.
    /// Errors: section_error.
    kernel::result<std::optional<std::string>> text_from_deltas(const head& update,
                                                                const std::string& name,
                                                                const section_head& target) const;

    head head_;
    /// Canonical texts, since parsed documents take more memory: 18.6 MB instead of 11.9 MB for
    /// 16,000 backend servers.
    section_texts texts_;
    std::shared_ptr<const configuration_snapshot> snapshot_;
};

}  // namespace poplarfront::configuration
