#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/section_error.h"
#include "kernel/extension_point.h"
#include "kernel/result.h"

namespace poplarfront::configuration {

/// The text of each section by name; an absent section has no entries.
using section_texts = std::map<std::string, std::string, std::less<>>;

/// The validation rules of one section. Packages register theirs with
/// `kernel::extension_point<section_schema>::registration`.
struct section_schema {
    std::string name;
    /// Errors: section_error with line, key and reason.
    std::function<kernel::result<void>(std::string_view text)> validate;
    /// Checks that the section is consistent with the others, each of which is valid by itself. May
    /// be empty.
    /// Errors: section_error whose reason names both sections.
    std::function<kernel::result<void>(const section_texts& all)> check_against_others;
};

/// The schema of a section; null if the section is not registered. Thread-safe.
[[nodiscard]] const section_schema* find_schema(std::string_view name);

/// The names of all registered sections, sorted. Thread-safe.
[[nodiscard]] std::vector<std::string> section_names();

/// The text of a section; empty if the section is absent.
[[nodiscard]] std::string_view text_of(const section_texts& all, std::string_view section);

/// Validates section `changed` by itself and then all sections against each other.
/// Precondition: all sections but `changed` are valid.
/// Errors: section_error, also for a section that is not registered. Thread-safe.
kernel::result<void> check_sections(const section_texts& all, std::string_view changed);

}  // namespace poplarfront::configuration
