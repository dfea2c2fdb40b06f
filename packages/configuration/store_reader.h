#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "configuration/codec.h"
#include "store/store_client.h"

namespace poplarfront::configuration {

/// The head as the store has it; `head` is absent if `reason` says why it could not be read.
struct head_read_result {
    std::optional<configuration::head> head;
    /// The store's version of the head, for compare-and-swap.
    std::uint64_t version = 0;
    std::string reason;
    /// Whether a later read may succeed.
    bool transient = false;
    friend auto operator<=>(const head_read_result&, const head_read_result&) = default;
};

/// The canonical text of a section; absent if `reason` says why it could not be read.
struct text_read_result {
    std::optional<std::string> text;
    std::string reason;
    bool transient = false;
    friend auto operator<=>(const text_read_result&, const text_read_result&) = default;
};

/// Reads the accepted configuration from the store and checks that it belongs to one deployment.
///
/// Thread safety: used on one thread; calls may suspend in the store client.
template <store::store_client Store, store_codec Codec>
class store_reader {
public:
    /// The store must outlive the reader.
    store_reader(Store& store, Codec codec, model::deployment_id deployment)
        : store_(store), codec_(std::move(codec)), deployment_(std::move(deployment)) {}

    /// The head; that of an empty document if the store has none.
    head_read_result read_head(kernel::time_point deadline) {
        return interpret(store_.read(head_key, deadline));
    }

    /// What a read or a watch of head_key says.
    head_read_result interpret(const store::read_outcome& outcome) const {
        if (outcome.status != store::store_status::ok) {
            return {std::nullopt, 0, "the store did not answer", true};
        }
        if (outcome.value.version == 0) {
            return {configuration::head{deployment_, {}, {}, {}, {}}, 0, {}};
        }
        auto head = codec_.head(outcome.value.bytes);
        if (!head) {
            return {std::nullopt, 0, "the head in the store is malformed"};
        }
        if (head->deployment != deployment_) {
            return {std::nullopt, 0,
                    "the store belongs to deployment " + head->deployment.text() + ", not " +
                        deployment_.text()};
        }
        return {std::move(head), outcome.value.version, {}};
    }

    /// The text that `section` refers to; empty for a section that was never written.
    text_read_result read_text(const std::string& name, const section_head& section,
                               kernel::time_point deadline) {
        std::string text;
        for (const auto& key : section.blob_keys) {
            const auto outcome = store_.read(key, deadline);
            if (outcome.status != store::store_status::ok) {
                return {std::nullopt, "the store did not answer", true};
            }
            const auto blob = codec_.blob(outcome.value.bytes);
            if (!blob || blob->deployment != deployment_ || blob->section != name) {
                return {std::nullopt, "the value " + key + " is missing or malformed"};
            }
            text += blob->text;
        }
        if (section.revision.value > 0 && digest_of(text) != section.digest) {
            return {std::nullopt, "the text of section " + name + " does not match its digest"};
        }
        return {std::move(text), {}};
    }

private:
    Store& store_;
    Codec codec_;
    model::deployment_id deployment_;
};

}  // namespace poplarfront::configuration
