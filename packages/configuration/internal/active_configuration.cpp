#include "configuration/active_configuration.h"

#include "configuration/shards_section.h"

namespace poplarfront::configuration {
namespace {

using document_map = std::map<std::string, section_document, std::less<>>;

/// The snapshot after one section has changed. Errors: section_error.
kernel::result<configuration_snapshot> with_section(configuration_snapshot snapshot,
                                                    const std::string& name,
                                                    model::revision revision,
                                                    const std::string& text) {
    if (name == "shards") {
        BOOST_LEAF_ASSIGN(snapshot.shard_map, parse_shards(text, revision));
    } else if (name == "shares") {
        BOOST_LEAF_ASSIGN(snapshot.shares, parse_shares(text));
    } else if (name == "leaving") {
        BOOST_LEAF_ASSIGN(snapshot.leaving, parse_leaving(text));
    } else if (name == "policy") {
        BOOST_LEAF_ASSIGN(snapshot.policy, parse_policy(text));
    }
    return snapshot;
}

kernel::result<configuration_snapshot> next_snapshot(const configuration_snapshot& current,
                                                     const head& update,
                                                     const document_map& changed) {
    auto next = current;
    next.revision = update.document_revision;
    for (const auto& [name, document] : changed) {
        BOOST_LEAF_ASSIGN(next, with_section(std::move(next), name, update.section(name).revision,
                                             document.text()));
    }
    return next;
}

kernel::result<std::optional<section_document>> parse_if_digest_matches(const std::string& name,
                                                                        std::string_view text,
                                                                        std::uint64_t digest) {
    if (digest_of(text) != digest) {
        return std::optional<section_document>{};
    }
    BOOST_LEAF_AUTO(document, section_document::parse(name, text));
    return std::optional{std::move(document)};
}

}  // namespace

active_configuration::active_configuration(model::deployment_id deployment)
    : current_{std::move(deployment), {}, {}, {}, {}},
      snapshot_(std::make_shared<const configuration_snapshot>()) {}

apply_outcome active_configuration::apply(const head& update, const section_texts& texts) {
    if (update.deployment != current_.deployment) {
        return {apply_status::refused,
                {},
                "the head belongs to deployment " + update.deployment.text()};
    }
    if (update.document_revision <= current_.document_revision) {
        return {apply_status::stale, {}, {}};
    }
    return kernel::handle<section_error>(
        [&]() -> kernel::result<apply_outcome> {
            document_map changed;
            std::vector<std::string> missing;
            for (const auto& [name, target] : update.sections) {
                const auto own = current_.section(name);
                if (own.revision == target.revision && own.digest == target.digest) {
                    continue;
                }
                if (target.revision <= own.revision) {
                    return apply_outcome{
                        apply_status::refused, {}, "section " + name + " would go back"};
                }
                auto document = reach_by_deltas(update, name, target);
                if (const auto text = texts.find(name); !document && text != texts.end()) {
                    BOOST_LEAF_ASSIGN(document,
                                      parse_if_digest_matches(name, text->second, target.digest));
                }
                if (document) {
                    changed.insert_or_assign(name, *std::move(document));
                } else {
                    missing.push_back(name);
                }
            }
            if (!missing.empty()) {
                return apply_outcome{apply_status::needs_sections, std::move(missing), {}};
            }
            BOOST_LEAF_AUTO(next, next_snapshot(*snapshot_, update, changed));
            auto recent = merge_recent(current_.recent, update.recent);
            current_ = update;
            current_.recent = std::move(recent);
            for (auto& [name, document] : changed) {
                documents_.insert_or_assign(name, std::move(document));
            }
            snapshot_ = std::make_shared<const configuration_snapshot>(std::move(next));
            return apply_outcome{apply_status::applied, {}, {}};
        },
        [](const section_error& error) {
            return apply_outcome{apply_status::refused, {}, to_string(error)};
        });
}

std::optional<section_document> active_configuration::reach_by_deltas(
    const head& update, const std::string& name, const section_head& target) const {
    auto reached = current_.section(name).revision;
    delta total;
    for (const auto& change : update.recent) {
        if (change.section == name && change.previous == reached &&
            change.revision <= target.revision) {
            total = compose(total, change.change);
            reached = change.revision;
        }
    }
    if (reached != target.revision) {
        return std::nullopt;
    }
    const auto it = documents_.find(name);
    auto document =
        configuration::apply(it == documents_.end() ? section_document{} : it->second, total);
    if (digest_of(document.text()) != target.digest) {
        return std::nullopt;
    }
    return document;
}

std::optional<std::string> active_configuration::section_text(std::string_view name) const {
    const auto it = documents_.find(name);
    return it == documents_.end() ? std::nullopt : std::optional{it->second.text()};
}

}  // namespace poplarfront::configuration
