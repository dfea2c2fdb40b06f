#include "control_client/run.h"

#include <spdlog/fmt/fmt.h>

#include <boost/fiber/operations.hpp>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>

#include "control_client/client.h"
#include "control_client/http_instance_api.h"
#include "store/http_store_client.h"

namespace poplarfront::control_client {
namespace {

/// The system's clock for fibers.
class fiber_clock {
public:
    [[nodiscard]] kernel::time_point now() const { return std::chrono::steady_clock::now(); }
    void sleep_until(kernel::time_point until) { boost::this_fiber::sleep_until(until); }
};

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

std::string random_nonce() {
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

template <class Client>
exit_code execute(Client& client, const command_line& arguments, const std::string& text) {
    if (arguments.command == "list") {
        return client.list();
    }
    if (arguments.command == "read") {
        return client.read();
    }
    if (arguments.command == "validate") {
        return client.validate(text);
    }
    if (arguments.command == "diff") {
        return client.diff(text);
    }
    if (arguments.command == "write") {
        return client.write(text);
    }
    return arguments.command == "status" ? client.status() : client.state();
}

exit_code execute(const command_line& arguments, const std::string& text, std::ostream& out,
                  std::ostream& err) {
    const auto thread = runtime::fiber_thread::create("poplarctl");
    auto code = exit_code::unknown;
    thread->run([&] {
        const auto http = runtime::http_client::create(thread);
        const auto store = store::http_store_client::create(http, {arguments.store});
        http_instance_api instances{http};
        fiber_clock clock;
        client client{*store, instances, clock, arguments, random_nonce(), out, err};
        code = execute(client, arguments, text);
    });
    thread->stop();
    return code;
}

std::optional<command_line> parse(const std::vector<std::string>& arguments, std::ostream& err) {
    return kernel::handle<usage_error>(
        [&]() -> kernel::result<std::optional<command_line>> {
            BOOST_LEAF_AUTO(parsed, parse_command_line(arguments));
            return std::optional{std::move(parsed)};
        },
        [&](const usage_error& error) {
            err << "poplarctl: " << error.message << "\n" << usage_text();
            return std::optional<command_line>{};
        });
}

}  // namespace

exit_code run(const std::vector<std::string>& arguments, const std::string& version,
              std::ostream& out, std::ostream& err) {
    const auto parsed = parse(arguments, err);
    if (!parsed) {
        return exit_code::usage;
    }
    if (parsed->help || parsed->version) {
        out << (parsed->help ? std::string{usage_text()} : "poplarctl " + version + "\n");
        return exit_code::success;
    }
    std::string text;
    if (!parsed->file.empty()) {
        auto content = read_file(parsed->file);
        if (!content) {
            err << "poplarctl: cannot read " << parsed->file << "\n";
            return exit_code::usage;
        }
        text = *std::move(content);
    }
    return execute(*parsed, text, out, err);
}

}  // namespace poplarfront::control_client
