#include "configuration/section_schema.h"

#include <algorithm>

namespace poplarfront::configuration {
namespace {

using schemas = kernel::extension_point<section_schema>;

}  // namespace

const section_schema* find_schema(std::string_view name) {
    const auto& all = schemas::entries();
    const auto it = std::find_if(all.begin(), all.end(),
                                 [&](const auto& schema) { return schema.name == name; });
    return it == all.end() ? nullptr : &*it;
}

std::vector<std::string> section_names() {
    std::vector<std::string> names;
    for (const auto& schema : schemas::entries()) {
        names.push_back(schema.name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::string_view text_of(const section_texts& all, std::string_view section) {
    const auto it = all.find(section);
    return it == all.end() ? std::string_view{} : std::string_view{it->second};
}

kernel::result<void> check_sections(const section_texts& all, std::string_view changed) {
    const auto* schema = find_schema(changed);
    if (schema == nullptr) {
        return boost::leaf::new_error(
            section_error{std::string{changed}, 0, "", "no section has this name"});
    }
    BOOST_LEAF_CHECK(schema->validate(text_of(all, changed)));
    for (const auto& other : schemas::entries()) {
        if (other.check_against_others) {
            BOOST_LEAF_CHECK(other.check_against_others(all));
        }
    }
    return {};
}

}  // namespace poplarfront::configuration
