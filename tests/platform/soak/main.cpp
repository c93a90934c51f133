#include "soak.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <filesystem>
#include <iostream>

using namespace crocusport;

int main(int argc, char **argv)
{
    CLI::App app { "Runs gateways as processes, injects faults and checks what callers and backend "
                   "servers see. Exit codes: 0 all checks passed, 1 some failed, 2 wrong usage." };
    SoakOptions options;
    std::uint64_t seeds = 1;
    int seconds = 20;
    bool keepsLogs = false;
    app.add_option("--gateway", options.program, "The gateway program")->required();
    app.add_option("--seed", options.seed, "First seed");
    app.add_option("--seeds", seeds, "Number of seeds");
    app.add_option("--seconds", seconds, "Time during which faults are injected, for each seed");
    app.add_option("--port", options.firstPort, "First of three ports for each router")->required();
    app.add_option("--routers", options.routers, "Number of gateways");
    app.add_flag("--keep-logs", keepsLogs, "Keep settings and logs of the gateways");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    options.duration = std::chrono::seconds(seconds);
    bool isPassed = true;
    const auto first = options.seed;
    for (options.seed = first; options.seed < first + seeds; ++options.seed) {
        const auto directory = std::filesystem::temp_directory_path()
            / ("crocusport-soak-" + std::to_string(getpid()) + '-' + std::to_string(options.seed));
        std::filesystem::create_directories(directory);
        options.directory = directory.string();
        const bool isSeedPassed = handleErrors(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(loop, EventLoop::create());
                return Soak(*loop, options).run();
            },
            [](const Error &error) {
                std::cerr << error.message << '\n';
                return false;
            });
        isPassed = isPassed && isSeedPassed;
        if (keepsLogs || !isSeedPassed)
            std::cout << "logs: " << directory.string() << '\n';
        else
            std::filesystem::remove_all(directory);
    }
    return isPassed ? 0 : 1;
}
