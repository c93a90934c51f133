#include "account/logaccount.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <string>

int main(int argc, char **argv)
{
    CLI::App app("Sums up the logs of gateways by time and route.");
    double seconds = 1;
    std::string file = "-";
    app.add_option("--seconds", seconds, "Length of a row in seconds")
        ->check(CLI::Range(0.001, 86400.0))
        ->capture_default_str();
    app.add_option("file", file, "Log to read; - is standard input")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    std::ifstream opened;
    if (file != "-") {
        opened.open(file);
        if (!opened) {
            std::cerr << "crocusport-account: " << file << " cannot be read\n";
            return 1;
        }
    }
    std::istream &input = file == "-" ? std::cin : opened;
    constexpr double kMsPerSecond = 1000;
    crocusport::LogAccount account(static_cast<std::int64_t>(seconds * kMsPerSecond));
    std::string line;
    while (std::getline(input, line))
        account.add(line);
    account.write(std::cout);
    return 0;
}
