#include <iostream>

#include "cyclamenpost/operator/operator_cli.hpp"

auto main(int argc, char** argv) -> int
{
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    return static_cast<int>(cyclamenpost::run_operator_command(arguments, std::cout, std::cerr));
}
