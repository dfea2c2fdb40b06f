#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>

#include "admission_measure/measurements.h"

namespace {

constexpr const char* usage =
    "Usage: admission_measure [--seed N]\n"
    "Prints the measurements behind the choice of the admission policies.\n";

const std::array<option, 3> known_options{{
    {"seed", required_argument, nullptr, 's'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
}};

}  // namespace

int main(int argc, char** argv) {
    std::uint64_t seed = 1;
    for (int found = 0; found != -1;) {
        found = getopt_long(argc, argv, "", known_options.data(), nullptr);
        if (found == 's') {
            seed = std::strtoull(optarg, nullptr, 10);
        } else if (found != -1) {
            (found == 'h' ? std::cout : std::cerr) << usage;
            return found == 'h' ? 0 : 2;
        }
    }
    std::cout << poplarfront::admission_measure::measure_shares(seed) << "\n"
              << poplarfront::admission_measure::measure_limits(seed);
    return 0;
}
