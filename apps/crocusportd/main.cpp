#include "logline.h"
#include "router.h"

#include "crocusport/protocol/settings.h"
#include "crocusport/transport/eventloop.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 1;
constexpr int kExitUsage = 2;
constexpr int kExitListenFailed = 3;

void startLogging(const char *program, LogLevel level)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = level <= LogLevel::Info ? 0 : static_cast<int>(level) - 1;
    google::InitGoogleLogging(program);
}

std::vector<Settings::Override> parseOverrides(const std::vector<std::string> &arguments)
{
    std::vector<Settings::Override> overrides;
    for (const auto &argument : arguments) {
        const auto separator = argument.find('=');
        overrides.emplace_back(argument.substr(0, separator),
                               separator == std::string::npos ? ""
                                                              : argument.substr(separator + 1));
    }
    return overrides;
}

int fail(int exitCode, const Error &error)
{
    std::cerr << "crocusportd: " << error.message << " (code " << static_cast<int>(error.code)
              << ")\n";
    return exitCode;
}

Result<int> runRouter(EventLoop &loop, const Settings &settings)
{
    BOOST_LEAF_AUTO(router, Router::create(loop, settings));
    BOOST_LEAF_CHECK(loop.onSignal(SIGTERM, [&router] { router->shutDown(); }));
    BOOST_LEAF_CHECK(loop.onSignal(SIGINT, [&router] { router->shutDown(); }));
    LOG(INFO) << LogLine("router_started")
                     .add("router", settings.router.value())
                     .add("callers", router->callersAddress().value())
                     .add("peers", router->peersAddress().value())
                     .add("operators", router->operatorsAddress().value())
                     .text();
    loop.run();
    return kExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app { "Routes language-model requests by service level. Exit codes: 0 stopped, 1 bad "
                   "settings, 2 wrong usage, 3 cannot listen." };
    std::string file;
    std::vector<std::string> assignments;
    app.add_option("-c,--config", file, "Settings file (TOML)")->required();
    app.add_option("--set", assignments, "Overrides one setting, as key=value")->take_all();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? kExitOk : kExitUsage;
    }

    return handleErrors(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(settings, Settings::load(file, parseOverrides(assignments)));
            startLogging(argv[0], settings.logLevel);
            BOOST_LEAF_AUTO(loop, EventLoop::create());
            return runRouter(*loop, settings);
        },
        [](const Error &error) {
            const bool isListenError = error.code == ResultCode::ListenFailed;
            return fail(isListenError ? kExitListenFailed : kExitBadSettings, error);
        });
}
