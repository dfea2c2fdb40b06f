#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "kernel/clock_and_random_sources.h"
#include "kernel/result.h"
#include "support/environment.h"

/// Messages that are changed at random, for tests of decoders. The environment variables
/// POPLARFRONT_SEED and POPLARFRONT_RUNS set the first seed and the number of messages.
namespace poplarfront::test_support {

/// Changes bytes, repeats, removes and swaps ranges, and inserts values that are often mishandled.
class message_mutator {
public:
    explicit message_mutator(std::uint64_t seed) : random_(seed) {}

    std::string mutate(const std::vector<std::string>& corpus) {
        auto message = corpus[below(corpus.size())];
        for (auto changes = 1 + below(4); changes > 0; --changes) {
            change(message, corpus);
        }
        return message;
    }

    /// A number in [0, n), or 0 if n is 0.
    std::size_t below(std::size_t n) {
        return n == 0 ? 0 : static_cast<std::size_t>(kernel::uniform_below(random_, n));
    }

private:
    void change(std::string& message, const std::vector<std::string>& corpus) {
        static const std::vector<std::string> odd_values{"-1",
                                                         "0",
                                                         "1e999",
                                                         "18446744073709551616",
                                                         "9223372036854775807",
                                                         "NaN",
                                                         "null",
                                                         "\"\"",
                                                         "[]",
                                                         "{}",
                                                         "true",
                                                         "\"\\ud800\"",
                                                         "\\u0000",
                                                         "%00",
                                                         "\r\n",
                                                         "\r\n\r\n",
                                                         "\n",
                                                         ":",
                                                         ",",
                                                         std::string(1, '\0'),
                                                         "\xff",
                                                         "\xff\xff\xff\xff\x0f",
                                                         "chunked",
                                                         "Connection: x",
                                                         "Transfer-Encoding: chunked\r\n",
                                                         "Content-Length: 3\r\n",
                                                         "ffffffffffffffff\r\n"};
        const auto at = below(message.size() + 1);
        const auto length = below(std::min<std::size_t>(message.size() - at, 40) + 1);
        switch (below(6)) {
            case 0:
                if (at < message.size()) {
                    message[at] = static_cast<char>(below(256));
                }
                break;
            case 1:
                message.erase(at, length);
                break;
            case 2:
                message.insert(at, message.substr(at, length));
                break;
            case 3:
                message.insert(at, odd_values[below(odd_values.size())]);
                break;
            case 4:
                message.replace(at, length, odd_values[below(odd_values.size())]);
                break;
            default: {
                const auto& other = corpus[below(corpus.size())];
                message = message.substr(0, at) + other.substr(below(other.size() + 1));
            }
        }
    }

    kernel::seeded_random_source random_;
};

/// Runs `check` with changed messages of the corpus.
template <class Check>
void with_mutations(const std::vector<std::string>& corpus, const Check& check) {
    const auto first = number_from_environment("POPLARFRONT_SEED", 1);
    const auto runs = number_from_environment("POPLARFRONT_RUNS", 5000);
    for (auto seed = first; seed < first + runs; ++seed) {
        message_mutator mutator{seed};
        const auto message = mutator.mutate(corpus);
        INFO("POPLARFRONT_SEED=" << seed << " POPLARFRONT_RUNS=1");
        check(message, mutator);
    }
}

/// The decoded value; absent after an error of type Error.
template <class Error, class Decode>
auto decoded(const Decode& decode) {
    using value = std::remove_cvref_t<decltype(decode().value())>;
    return kernel::handle<Error>(
        [&]() -> kernel::result<std::optional<value>> {
            BOOST_LEAF_AUTO(it, decode());
            return std::optional<value>{std::move(it)};
        },
        [](const Error&) { return std::optional<value>{}; });
}

}  // namespace poplarfront::test_support
