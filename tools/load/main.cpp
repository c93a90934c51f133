#include "backendtruth.h"
#include "comparison.h"
#include "crocusport/transport/eventloop.h"
#include "loadgenerator.h"
#include "loadreport.h"
#include "mix.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace crocusport {

namespace {

// The exit code when answers or outcomes were false; other failures exit with 1.
constexpr int kIncorrectExitCode = 2;

using Factors = std::vector<std::pair<std::string, double>>;

//! Reads texts of the form name=factor.
Result<Factors> readFactors(const std::vector<std::string> &texts)
{
    Factors factors;
    for (const auto &text : texts) {
        const auto equals = text.find('=');
        char *end = nullptr;
        const auto factor =
            equals == std::string::npos ? -1 : std::strtod(text.c_str() + equals + 1, &end);
        if (factor < 0 || !end || *end != '\0')
            return makeError(ResultCode::BadSettings, "expected name=factor, not " + text);
        factors.emplace_back(text.substr(0, equals), factor);
    }
    return factors;
}

struct CommandLine
{
    CLI::App application { "Open-loop load generator for crocusport" };
    std::string mixFile;
    std::vector<std::string> routers;
    std::vector<std::string> engines;
    std::vector<std::string> services;
    std::vector<std::string> compared;
    std::vector<std::string> labels;
    std::vector<std::string> classRates;
    std::vector<std::string> teamWeights;
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
        auto &app = application;
        app.add_option("--mix", mixFile, "TOML or JSON file with the classes");
        app.add_option("--router", routers, "ip:port that requests go to; may be repeated");
        app.add_option("--engine", engines, "Engine stand-ins to ask for metrics at the end");
        app.add_option("--service", services, "Service stand-ins to ask for executions at the end");
        app.add_option("--seed", options.seed, "Seed of arrivals and contents");
        app.add_option("--duration", durationSeconds, "Seconds with arrivals");
        app.add_option("--drain", drainSeconds, "Longest wait for the last answers");
        app.add_option("--rate", rate, "Requests per second of all classes together");
        app.add_option("--rate-factor", rateFactor, "Factor for all rates");
        app.add_option("--class-rate", classRates, "name=factor for the rate of a class");
        app.add_option("--team-weight", teamWeights, "name=factor for the weight of a team");
        app.add_option("--connections", options.connections,
                       "Idle connections for each router, or callers with --saturate");
        app.add_flag("--saturate", options.isSaturating, "Closed loop, for the highest throughput");
        app.add_option("--class", only, "Only these classes of the mix");
        app.add_flag("--no-bursts", isWithoutBursts, "Leave out the mix file's bursts");
        app.add_option("--label", labels, "name=value, copied to the report");
        app.add_option("--json", jsonFile, "File for the report");
        app.add_option("--compare", compared,
                       "Sends nothing; prints a table of these reports, and a summary to --json");
    }

    Result<void> applyFactors(Mix &mix) const
    {
        BOOST_LEAF_AUTO(rates, readFactors(classRates));
        BOOST_LEAF_AUTO(weights, readFactors(teamWeights));
        for (auto &loadClass : mix.classes) {
            for (const auto &[name, factor] : rates)
                loadClass.rate *= name == loadClass.name ? factor : 1;
            for (auto &[team, weight] : loadClass.teams) {
                for (const auto &[name, factor] : weights)
                    weight *= name == team ? factor : 1;
            }
        }
        return {};
    }

    Result<Mix> readMix()
    {
        if (routers.empty())
            return makeError(ResultCode::BadSettings, "no --router is given");
        BOOST_LEAF_AUTO(mix, Mix::load(mixFile));
        BOOST_LEAF_CHECK(applyFactors(mix));
        for (const auto &label : labels)
            options.labels[label.substr(0, label.find('='))] = label.substr(label.find('=') + 1);
        if (!only.empty()) {
            const auto isLeftOut = [this](const LoadClass &loadClass) {
                return std::find(only.begin(), only.end(), loadClass.name) == only.end();
            };
            mix.classes.erase(std::remove_if(mix.classes.begin(), mix.classes.end(), isLeftOut),
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

Result<void> writeJson(const nlohmann::json &report, const std::string &file)
{
    if (file.empty())
        return {};
    std::ofstream stream(file);
    stream << report.dump(2) << '\n';
    if (!stream)
        return makeError(ResultCode::FileUnreadable, "cannot write " + file);
    return {};
}

Result<int> compare(const CommandLine &line)
{
    BOOST_LEAF_AUTO(comparison, Comparison::load(line.compared));
    comparison.printTable(std::cout);
    BOOST_LEAF_CHECK(writeJson(comparison.rows(), line.jsonFile));
    return EXIT_SUCCESS;
}

Result<int> run(CommandLine &line)
{
    if (!line.compared.empty())
        return compare(line);
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
    BOOST_LEAF_CHECK(writeJson(report.json(), line.jsonFile));
    return report.isCorrect() ? EXIT_SUCCESS : kIncorrectExitCode;
}

} // namespace

} // namespace crocusport

int main(int argc, char **argv)
{
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
