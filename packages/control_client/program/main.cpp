#include <iostream>

#include "control_client/run.h"

int main(int argc, char** argv) {
    const std::vector<std::string> arguments{argv + 1, argv + argc};
    return static_cast<int>(
        poplarfront::control_client::run(arguments, POPLARFRONT_VERSION, std::cout, std::cerr));
}
