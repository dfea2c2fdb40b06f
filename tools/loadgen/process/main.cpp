#include <fstream>
#include <iostream>

#include "command_line.h"
#include "loadgen/load_run.h"

namespace {

constexpr int file_exit_code = 1;
constexpr int broken_exit_code = 3;

}  // namespace

int main(int argc, char** argv) {
    using namespace poplarfront::loadgen;
    int exit_code = 0;
    const auto parsed = parse_command_line(argc, argv, exit_code);
    if (!parsed) {
        return exit_code;
    }
    const auto report = run_load(parsed->options);
    std::cout << to_text(report);
    if (!parsed->json_file.empty()) {
        std::ofstream file{parsed->json_file};
        file << to_json(report) << '\n';
        if (!file.flush()) {
            std::cerr << "cannot write " << parsed->json_file << '\n';
            return file_exit_code;
        }
    }
    return report.broken_promises == 0 ? 0 : broken_exit_code;
}
