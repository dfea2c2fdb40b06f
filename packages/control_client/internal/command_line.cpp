#include "control_client/command_line.h"

#include <getopt.h>

#include <algorithm>
#include <array>

#include "kernel/numbers.h"
#include "model/identifier.h"

namespace poplarfront::control_client {
namespace {

constexpr std::string_view usage =
    R"(usage: poplarctl [OPTIONS] COMMAND

Commands:
  list                     print the sections and their accepted revisions
  read SECTION             print the accepted text
  validate SECTION FILE    check a text; with --store also against the other sections
  diff SECTION FILE        print what the text would change
  write SECTION FILE       check the text and have it accepted
  status [SECTION]         wait until the accepted revision is in force on all instances
  state ADDRESS            print the state of one instance

Options:
  --store IP:PORT          the platform's store
  --deployment NAME        the deployment that the store must belong to
  --instances IP:PORT,...  operator addresses; default: the platform's instance list
  --expect-revision N      write: the section revision that the text is based on
  --follow                 write: then wait like status
  --timeout-ms N           how long to wait, 1 to 600000; default 10000
  --help, --version

Exit codes: 0 success, 1 refused, 2 conflict, 3 unknown or not yet in force,
64 invalid command line or unreadable FILE.
)";

enum option_value {
    store = 1,
    deployment,
    instances,
    expect_revision,
    follow,
    timeout,
    help,
    version
};

constexpr std::array option_table{
    option{"store", required_argument, nullptr, store},
    option{"deployment", required_argument, nullptr, deployment},
    option{"instances", required_argument, nullptr, instances},
    option{"expect-revision", required_argument, nullptr, expect_revision},
    option{"follow", no_argument, nullptr, follow},
    option{"timeout-ms", required_argument, nullptr, timeout},
    option{"help", no_argument, nullptr, help},
    option{"version", no_argument, nullptr, version},
    option{nullptr, 0, nullptr, 0},
};

struct command_rule {
    std::string_view name;
    std::size_t minimum_operands;
    std::size_t maximum_operands;
    bool needs_store;
};

constexpr std::array command_rules{
    command_rule{"list", 0, 0, true},      command_rule{"read", 1, 1, true},
    command_rule{"validate", 2, 2, false}, command_rule{"diff", 2, 2, true},
    command_rule{"write", 2, 2, true},     command_rule{"status", 0, 1, true},
    command_rule{"state", 1, 1, false},
};

auto new_usage_error(std::string message) {
    return boost::leaf::new_error(usage_error{std::move(message)});
}

kernel::result<std::uint64_t> parse_number(std::string_view name, std::string_view text,
                                           std::uint64_t minimum, std::uint64_t maximum) {
    const auto n = kernel::parse_number<std::uint64_t>(text);
    if (!n || *n < minimum || *n > maximum) {
        return new_usage_error(std::string{name} + " must be an integer from " +
                               std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return *n;
}

std::vector<std::string> split(std::string_view text) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        if (comma > 0) {
            parts.emplace_back(text.substr(0, comma));
        }
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
}

kernel::result<void> apply_option(int value, command_line& parsed) {
    constexpr std::uint64_t max_revision = std::uint64_t{1} << 62U;
    constexpr std::uint64_t max_timeout_ms = 600'000;
    switch (value) {
        case store:
            parsed.store = optarg;
            return {};
        case deployment:
            parsed.deployment = optarg;
            return {};
        case instances:
            parsed.instances = split(optarg);
            return {};
        case expect_revision: {
            BOOST_LEAF_ASSIGN(parsed.expected_revision,
                              parse_number("--expect-revision", optarg, 0, max_revision));
            return {};
        }
        case follow:
            parsed.follow = true;
            return {};
        case timeout: {
            BOOST_LEAF_AUTO(ms, parse_number("--timeout-ms", optarg, 1, max_timeout_ms));
            parsed.timeout = std::chrono::milliseconds{ms};
            return {};
        }
        case help:
            parsed.help = true;
            return {};
        case version:
            parsed.version = true;
            return {};
        default:
            return new_usage_error("unknown option or missing value");
    }
}

kernel::result<void> apply_operands(const std::vector<std::string>& operands,
                                    command_line& parsed) {
    if (operands.empty()) {
        return new_usage_error("missing command");
    }
    const auto rule = std::find_if(command_rules.begin(), command_rules.end(),
                                   [&](const auto& it) { return it.name == operands[0]; });
    if (rule == command_rules.end()) {
        return new_usage_error("unknown command " + operands[0]);
    }
    const auto count = operands.size() - 1;
    if (count < rule->minimum_operands || count > rule->maximum_operands) {
        return new_usage_error("wrong number of operands for " + operands[0]);
    }
    parsed.command = operands[0];
    parsed.section_or_address = count > 0 ? operands[1] : "";
    parsed.file = count > 1 ? operands[2] : "";
    if (rule->needs_store && (parsed.store.empty() || parsed.deployment.empty())) {
        return new_usage_error(operands[0] + " needs --store and --deployment");
    }
    if (!parsed.store.empty() && parsed.deployment.empty()) {
        return new_usage_error("--store needs --deployment");
    }
    if (!parsed.deployment.empty() && !model::is_identifier(parsed.deployment)) {
        return new_usage_error("--deployment is not a valid name");
    }
    return {};
}

}  // namespace

std::string_view usage_text() {
    return usage;
}

kernel::result<command_line> parse_command_line(const std::vector<std::string>& arguments) {
    std::vector<std::string> copies{"poplarctl"};
    copies.insert(copies.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    for (auto& it : copies) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    const auto argc = static_cast<int>(copies.size());
    command_line parsed;
    // 0 instead of 1 also resets the permutation state that getopt_long keeps between calls.
    optind = 0;
    opterr = 0;
    for (int c = 0; (c = getopt_long(argc, argv.data(), "", option_table.data(), nullptr)) != -1;) {
        BOOST_LEAF_CHECK(apply_option(c, parsed));
    }
    if (parsed.help || parsed.version) {
        return parsed;
    }
    BOOST_LEAF_CHECK(apply_operands({argv.begin() + optind, argv.begin() + argc}, parsed));
    return parsed;
}

}  // namespace poplarfront::control_client
