#include "configuration/leaving_section.h"
#include "configuration/policy_section.h"
#include "configuration/section_schema.h"
#include "configuration/shards_section.h"
#include "configuration/shares_section.h"

namespace poplarfront::configuration {
namespace {

using registration = kernel::extension_point<section_schema>::registration;

/// Parses the shards section with revision 0, because the cross-section checks do not use the
/// revision.
kernel::result<model::shard_map> shards_of(const section_texts& all) {
    return parse_shards(text_of(all, "shards"), model::revision{});
}

kernel::result<void> check_shares_section(const section_texts& all) {
    BOOST_LEAF_AUTO(shares, parse_shares(text_of(all, "shares")));
    BOOST_LEAF_AUTO(shards, shards_of(all));
    return check_shares(shares, shards);
}

kernel::result<void> check_policy_section(const section_texts& all) {
    BOOST_LEAF_AUTO(policy, parse_policy(text_of(all, "policy")));
    BOOST_LEAF_AUTO(shards, shards_of(all));
    return check_policy(policy, shards);
}

/// Validates a section by parsing it.
template <auto Parse>
kernel::result<void> validate(std::string_view text) {
    BOOST_LEAF_CHECK(Parse(text));
    return {};
}

kernel::result<void> validate_shards(std::string_view text) {
    BOOST_LEAF_CHECK(parse_shards(text, model::revision{}));
    return {};
}

const registration shards_schema{{"shards", validate_shards, {}}};
const registration shares_schema{{"shares", validate<parse_shares>, check_shares_section}};
const registration leaving_schema{{"leaving", validate<parse_leaving>, {}}};
const registration policy_schema{{"policy", validate<parse_policy>, check_policy_section}};

}  // namespace
}  // namespace poplarfront::configuration
