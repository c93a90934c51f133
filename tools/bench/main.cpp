#include "decidebenchmark.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

using namespace crocusport;

namespace {

nlohmann::json toJson(const DecideFigures &figures)
{
    return { { "servers", figures.size.servers },
             { "teams", figures.size.teams },
             { "waiting", figures.size.waiting },
             { "cycle_mean_us", figures.cycle.mean },
             { "cycle_p99_us", figures.cycle.p99 },
             { "decide_mean_us", figures.decide.mean },
             { "decide_p99_us", figures.decide.p99 },
             { "bytes_per_waiting_request", figures.bytesPerWaitingRequest } };
}

void print(const DecideFigures &figures)
{
    std::cout << "servers=" << figures.size.servers << " teams=" << figures.size.teams
              << " waiting=" << figures.size.waiting << " cycle_mean_us=" << figures.cycle.mean
              << " cycle_p99_us=" << figures.cycle.p99 << " decide_mean_us=" << figures.decide.mean
              << " decide_p99_us=" << figures.decide.p99
              << " bytes_per_waiting_request=" << figures.bytesPerWaitingRequest << '\n';
}

int runDecide(bool json, std::uint32_t decisions)
{
    auto all = nlohmann::json::array();
    for (const std::uint32_t servers : { 30U, 270U, 2700U }) {
        for (const std::uint32_t teams : { 10U, 100U, 760U }) {
            const auto figures = measureDecide({ .servers = servers, .teams = teams }, decisions);
            if (json)
                all.push_back(toJson(figures));
            else
                print(figures);
        }
    }
    if (json)
        std::cout << all.dump(2) << '\n';
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures the cost of crocusport's decision code");
    app.require_subcommand(1);
    bool json = false;
    std::uint32_t decisions = 200'000;
    auto *const decide = app.add_subcommand("decide", "Cost of a scheduling decision");
    decide->add_flag("--json", json, "Print JSON");
    decide->add_option("--decisions", decisions, "Decisions to measure for each size")
        ->check(CLI::PositiveNumber);
    CLI11_PARSE(app, argc, argv);
    return runDecide(json, decisions);
}
