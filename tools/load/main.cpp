#include "backendtruth.h"
#include "crocusport/transport/eventloop.h"
#include "loadgenerator.h"
#include "loadreport.h"
#include "mix.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace crocusport {

namespace {

// The exit code when answers or outcomes were false; other failures exit with 1.
constexpr int kIncorrectExitCode = 2;

struct CommandLine
{
    CLI::App application { "Open-loop load generator for crocusport" };
    std::string mixFile;
    std::vector<std::string> routers;
    std::vector<std::string> engines;
    std::vector<std::string> services;
    std::string jsonFile;
    double durationSeconds = 10;
    double drainSeconds = 30;
    double rate = 0;
    double rateFactor = 1;
    std::vector<std::string> only;
    bool isWithoutBursts = false;
    LoadOptions options;

    CommandLine()
    {
        application.add_option("--mix", mixFile, "TOML or JSON file with the classes")->required();
        application.add_option("--router", routers, "ip:port that requests go to; may be repeated")
            ->required();
        application.add_option("--engine", engines,
                               "Engine stand-ins to ask for metrics at the end");
        application.add_option("--service", services,
                               "Service stand-ins to ask for executions at the end");
        application.add_option("--seed", options.seed, "Seed of arrivals and contents");
        application.add_option("--duration", durationSeconds, "Seconds with arrivals");
        application.add_option("--drain", drainSeconds, "Longest wait for the last answers");
        application.add_option("--rate", rate, "Requests per second of all classes together");
        application.add_option("--rate-factor", rateFactor, "Factor for all rates");
        application.add_option("--connections", options.connections,
                               "Idle connections for each router, or callers with --saturate");
        application.add_flag("--saturate", options.isSaturating,
                             "Closed loop, for the highest throughput");
        application.add_option("--class", only, "Only these classes of the mix");
        application.add_flag("--no-bursts", isWithoutBursts, "Leave out the mix file's bursts");
        application.add_option("--json", jsonFile, "File for the report");
    }

    Result<Mix> readMix()
    {
        BOOST_LEAF_AUTO(mix, Mix::load(mixFile));
        if (!only.empty()) {
            mix.classes.erase(std::remove_if(mix.classes.begin(), mix.classes.end(),
                                             [this](const LoadClass &loadClass) {
                                                 return std::find(only.begin(), only.end(),
                                                                  loadClass.name)
                                                     == only.end();
                                             }),
                              mix.classes.end());
        }
        if (isWithoutBursts)
            mix.bursts.clear();
        if (mix.totalRate() <= 0)
            return makeError(ResultCode::BadSettings, "no class is left to send");
        options.rateFactor = rate > 0 ? rate / mix.totalRate() : rateFactor;
        options.length = Duration(static_cast<Duration::rep>(durationSeconds * 1'000'000));
        options.drain = Duration(static_cast<Duration::rep>(drainSeconds * 1'000'000));
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        options.runName =
            "r" + std::to_string(std::chrono::duration_cast<Milliseconds>(now).count());
        for (const auto &router : routers)
            options.routers.emplace_back(router);
        return mix;
    }
};

std::vector<SocketAddress> addresses(const std::vector<std::string> &texts)
{
    return { texts.begin(), texts.end() };
}

Result<int> run(CommandLine &line)
{
    BOOST_LEAF_AUTO(mix, line.readMix());
    BOOST_LEAF_AUTO(loop, EventLoop::create());
    HttpClient controlClient(*loop, HttpClient::Options());
    BackendTruth truth(controlClient, addresses(line.engines), addresses(line.services));
    LoadGenerator generator(*loop, mix, line.options,
                            [&] { truth.fetch([&loop] { loop->stop(); }); });
    const auto startedAt = monotonicNow();
    generator.start();
    loop->run();
    const LoadReport report(generator, truth, line.options, monotonicNow() - startedAt);
    report.printTable(std::cout);
    if (!line.jsonFile.empty()) {
        std::ofstream stream(line.jsonFile);
        stream << report.json().dump(2) << '\n';
        if (!stream)
            return makeError(ResultCode::FileUnreadable, "cannot write " + line.jsonFile);
    }
    return report.isCorrect() ? EXIT_SUCCESS : kIncorrectExitCode;
}

} // namespace

} // namespace crocusport

int main(int argc, char **argv)
{
    // libevent reads the coarse clock otherwise, and timers are up to 4 ms late.
    setenv("EVENT_PRECISE_TIMER", "1", 1);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    crocusport::CommandLine line;
    CLI11_PARSE(line.application, argc, argv);
    return crocusport::handleErrors([&] { return crocusport::run(line); },
                                    [](const crocusport::Error &error) {
                                        LOG(ERROR) << "event=run-failed message=\"" << error.message
                                                   << '"';
                                        return EXIT_FAILURE;
                                    });
}
