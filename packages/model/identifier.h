#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "kernel/result.h"

namespace poplarfront::model {

/// Why a value is invalid for its type.
struct model_error {
    std::string message;
    friend auto operator<=>(const model_error&, const model_error&) = default;
};

/// Maximum length of an identifier in bytes.
inline constexpr std::size_t max_identifier_length = 64;

/// Whether `text` is 1 to 64 letters, digits, '.', '_', '-' or '/'.
[[nodiscard]] bool is_identifier(std::string_view text);

/// A strongly typed name: names of different kinds have different types. Immutable.
template <class Tag>
class identifier {
public:
    /// An empty identifier, which names nothing.
    identifier() = default;

    /// Errors: model_error if `text` is not an identifier.
    static kernel::result<identifier> create(std::string_view text) {
        if (!is_identifier(text)) {
            return boost::leaf::new_error(
                model_error{"\"" + std::string{text.substr(0, max_identifier_length)} +
                            "\" is not a valid " + std::string{Tag::name}});
        }
        return identifier{std::string{text}};
    }

    /// For constants and values that were already validated. Precondition: `text` is an identifier.
    static identifier trusted(std::string text) { return identifier{std::move(text)}; }

    [[nodiscard]] const std::string& text() const { return text_; }
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const identifier&, const identifier&) = default;

private:
    explicit identifier(std::string text) : text_(std::move(text)) {}

    std::string text_;
};

/// A strongly typed number that only increases, such as a revision. Immutable.
template <class Tag>
struct ordinal {
    std::uint64_t value = 0;

    [[nodiscard]] ordinal next() const { return {value + 1}; }
    friend auto operator<=>(const ordinal&, const ordinal&) = default;
};

struct searcher_tag {
    static constexpr std::string_view name = "searcher";
};
struct service_tag {
    static constexpr std::string_view name = "service";
};
struct shard_tag {
    static constexpr std::string_view name = "shard";
};
struct server_tag {
    static constexpr std::string_view name = "backend server";
};
struct instance_tag {
    static constexpr std::string_view name = "instance";
};
struct data_centre_tag {
    static constexpr std::string_view name = "data centre";
};
struct request_tag {
    static constexpr std::string_view name = "request id";
};
struct deployment_tag {
    static constexpr std::string_view name = "deployment";
};
struct revision_tag {};
struct index_version_tag {};
struct incarnation_tag {};

using searcher_id = identifier<searcher_tag>;
using service_id = identifier<service_tag>;
using shard_id = identifier<shard_tag>;
using server_id = identifier<server_tag>;
using instance_id = identifier<instance_tag>;
using data_centre_id = identifier<data_centre_tag>;
using request_id = identifier<request_tag>;
using deployment_id = identifier<deployment_tag>;
/// The version of a configuration section or document.
using revision = ordinal<revision_tag>;
/// The version of the records that backend servers hold.
using index_version = ordinal<index_version_tag>;
/// The incarnation number of an instance, which increases when the instance restarts or refutes a
/// suspicion.
using incarnation = ordinal<incarnation_tag>;

/// A 64-bit FNV-1a hash with a final mixing step; equal on every instance and in every build.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

}  // namespace poplarfront::model

template <class Tag>
struct std::hash<poplarfront::model::identifier<Tag>> {
    std::size_t operator()(const poplarfront::model::identifier<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.text());
    }
};
