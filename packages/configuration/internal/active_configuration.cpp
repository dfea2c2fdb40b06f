#include "configuration/active_configuration.h"

#include "configuration/shards_section.h"

namespace poplarfront::configuration {
namespace {

/// Replaces a section of the snapshot. Ignores sections that the snapshot does not hold.
/// Errors: section_error.
kernel::result<void> set_section(configuration_snapshot& snapshot, const std::string& name,
                                 model::revision revision, const std::string& text) {
    if (name == "shards") {
        BOOST_LEAF_ASSIGN(snapshot.shard_map, parse_shards(text, revision));
    } else if (name == "shares") {
        BOOST_LEAF_ASSIGN(snapshot.shares, parse_shares(text));
    } else if (name == "leaving") {
        BOOST_LEAF_ASSIGN(snapshot.leaving, parse_leaving(text));
    } else if (name == "policy") {
        BOOST_LEAF_ASSIGN(snapshot.policy, parse_policy(text));
    }
    return {};
}

/// The snapshot after some sections have changed. Errors: section_error.
kernel::result<configuration_snapshot> next_snapshot(const configuration_snapshot& current,
                                                     const head& update,
                                                     const section_texts& changed) {
    configuration_snapshot next{
        update.document_revision, {}, current.shares, current.leaving, current.policy};
    // The shard map is by far the largest part, so it is copied only if it has not changed.
    if (!changed.contains("shards")) {
        next.shard_map = current.shard_map;
    }
    for (const auto& [name, text] : changed) {
        BOOST_LEAF_CHECK(set_section(next, name, update.section(name).revision, text));
    }
    return next;
}

}  // namespace

active_configuration::active_configuration(model::deployment_id deployment)
    : head_{std::move(deployment), {}, {}, {}, {}},
      snapshot_(std::make_shared<const configuration_snapshot>()) {}

apply_outcome active_configuration::apply(const head& update, const section_texts& texts) {
    if (update.deployment != head_.deployment) {
        return {apply_status::refused,
                {},
                "the head belongs to deployment " + update.deployment.text()};
    }
    if (update.document_revision <= head_.document_revision) {
        return {apply_status::stale, {}, {}};
    }
    return kernel::handle<section_error>(
        [&]() -> kernel::result<apply_outcome> {
            section_texts changed;
            std::vector<std::string> missing;
            for (const auto& [name, target] : update.sections) {
                const auto current = head_.section(name);
                if (current.revision == target.revision && current.digest == target.digest) {
                    continue;
                }
                if (target.revision <= current.revision) {
                    return apply_outcome{
                        apply_status::refused,
                        {},
                        "section " + name + " differs but is not newer than the active one"};
                }
                BOOST_LEAF_AUTO(text_by_deltas, text_from_deltas(update, name, target));
                const auto provided = texts.find(name);
                if (text_by_deltas) {
                    changed.insert_or_assign(name, *std::move(text_by_deltas));
                } else if (provided != texts.end() &&
                           digest_of(provided->second) == target.digest) {
                    changed.insert_or_assign(name, provided->second);
                } else {
                    missing.push_back(name);
                }
            }
            if (!missing.empty()) {
                return apply_outcome{apply_status::needs_sections, std::move(missing), {}};
            }
            BOOST_LEAF_AUTO(next, next_snapshot(*snapshot_, update, changed));
            auto recent = merge_recent_changes(head_.recent_changes, update.recent_changes);
            head_ = update;
            head_.recent_changes = std::move(recent);
            for (auto& [name, text] : changed) {
                texts_.insert_or_assign(name, std::move(text));
            }
            snapshot_ = std::make_shared<const configuration_snapshot>(std::move(next));
            return apply_outcome{apply_status::applied, {}, {}};
        },
        [](const section_error& error) {
            return apply_outcome{apply_status::refused, {}, to_string(error)};
        });
}

kernel::result<std::optional<std::string>> active_configuration::text_from_deltas(
    const head& update, const std::string& name, const section_head& target) const {
    auto reached = head_.section(name).revision;
    delta total;
    for (const auto& change : update.recent_changes) {
        if (change.section == name && change.previous == reached &&
            change.revision <= target.revision) {
            total = compose(total, change.delta);
            reached = change.revision;
        }
    }
    if (reached != target.revision) {
        return std::optional<std::string>{};
    }
    BOOST_LEAF_AUTO(document, section_document::parse(name, text_of(texts_, name)));
    auto text = configuration::apply(std::move(document), total).text();
    return digest_of(text) == target.digest ? std::optional{std::move(text)} : std::nullopt;
}

std::optional<std::string> active_configuration::section_text(std::string_view name) const {
    const auto it = texts_.find(name);
    return it == texts_.end() ? std::nullopt : std::optional{it->second};
}

}  // namespace poplarfront::configuration
