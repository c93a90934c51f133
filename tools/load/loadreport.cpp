#include "loadreport.h"

#include <sys/resource.h>

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>
#include <string>

namespace crocusport {

namespace {

using nlohmann::json;

constexpr int kNameWidth = 16;
constexpr int kNumberWidth = 10;

double cpuSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1'000'000;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::string fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

std::string quantileCell(const json &quantiles)
{
    return fixed(quantiles["p50"], 0) + '/' + fixed(quantiles["p95"], 0) + '/'
        + fixed(quantiles["p99"], 0);
}

//! Attainment of all teams but the one that sent the most requests.
double attainmentOfSmallerTeams(const LoadGenerator &generator)
{
    std::map<std::string, ClassStatistics::TeamCounts> teams;
    ClassStatistics::TeamCounts all;
    for (const auto &statistics : generator.statistics()) {
        for (const auto &[team, counts] : statistics->teams()) {
            teams[team].sent += counts.sent;
            teams[team].met += counts.met;
            all.sent += counts.sent;
            all.met += counts.met;
        }
    }
    const auto largest =
        std::max_element(teams.begin(), teams.end(), [](const auto &left, const auto &right) {
            return left.second.sent < right.second.sent;
        });
    if (largest == teams.end() || all.sent == largest->second.sent)
        return 1;
    return static_cast<double>(all.met - largest->second.met)
        / static_cast<double>(all.sent - largest->second.sent);
}

} // namespace

LoadReport::LoadReport(const LoadGenerator &generator, const BackendTruth &truth,
                       const LoadOptions &options, Duration elapsed)
{
    std::uint64_t sent = 0;
    std::uint64_t met = 0;
    std::uint64_t badAnswers = 0;
    std::uint64_t usefulTokens = 0;
    report_["classes"] = json::array();
    for (const auto &statistics : generator.statistics()) {
        sent += statistics->sent();
        met += statistics->met();
        badAnswers += statistics->badAnswers();
        usefulTokens += statistics->usefulTokens();
        report_["classes"].push_back(statistics->toJson(options.length));
    }
    const auto seconds = toSeconds(options.length);
    const auto &lateness = generator.latenessMs();
    report_["labels"] = options.labels;
    report_["seed"] = options.seed;
    report_["duration_s"] = seconds;
    report_["total"] = {
        { "sent", sent },
        { "met", met },
        { "attainment", sent == 0 ? 1 : static_cast<double>(met) / static_cast<double>(sent) },
        { "sent_per_s", static_cast<double>(sent) / seconds },
        { "goodput_per_s", static_cast<double>(met) / seconds },
        { "bad_answers", badAnswers },
        { "useful_tokens", usefulTokens },
        { "attainment_of_smaller_teams", attainmentOfSmallerTeams(generator) },
    };
    report_["generator"] = {
        { "elapsed_s", toSeconds(elapsed) },
        { "cpu_s", cpuSeconds() },
        { "most_open", generator.mostOpen() },
        { "lateness_p99_ms", ClassStatistics::quantile(lateness, 0.99) },
        { "lateness_max_ms", ClassStatistics::quantile(lateness, 1) },
    };
    report_["engines"] = truth.engineMetrics();
    report_["truth"] = {
        { "unreachable", truth.unreachable() },
        { "duplicate_bookings", truth.duplicateBookings() },
        { "told_not_run", generator.toldNotRun().size() },
        { "told_not_run_but_run", truth.countRun(generator.toldNotRun()) },
        { "completed_bookings", generator.completedBookings().size() },
        // Executions of a service that has crashed since are not known.
        { "completed_bookings_not_run",
          truth.hasServices() && truth.unreachable() == 0
              ? truth.countMissing(generator.completedBookings())
              : 0 },
    };
}

bool LoadReport::isCorrect() const
{
    const auto &truth = report_["truth"];
    return report_["total"]["bad_answers"] == 0 && truth["duplicate_bookings"] == 0
        && truth["told_not_run_but_run"] == 0 && truth["completed_bookings_not_run"] == 0;
}

void LoadReport::printTable(std::ostream &stream) const
{
    const auto cell = [&stream](const std::string &text, int width = kNumberWidth) {
        stream << std::setw(width) << text << ' ';
    };
    constexpr int kQuantilesWidth = 18;
    stream << std::left;
    cell("class", kNameWidth);
    stream << std::right;
    for (const auto *const title : { "sent", "met %", "peak met %", "good/s", "not run", "unknown",
                                     "failed", "conn/cut", "timed out", "bad" })
        cell(title);
    cell("first p50/95/99", kQuantilesWidth);
    cell("answer p50/95/99", kQuantilesWidth);
    stream << '\n';
    for (const auto &row : report_["classes"]) {
        const auto &results = row["results"];
        const auto count = [](const nlohmann::json &value) {
            return std::to_string(value.get<std::uint64_t>());
        };
        stream << std::left;
        cell(row["name"].get<std::string>(), kNameWidth);
        stream << std::right;
        cell(count(row["sent"]));
        cell(fixed(100 * row["attainment"].get<double>(), 2));
        cell(fixed(100 * row["attainment_at_peak"].get<double>(), 2));
        cell(fixed(row["goodput_per_s"], 1));
        cell(count(results["not_run"]));
        cell(count(results["unknown"]));
        cell(count(results["failed"]));
        cell(std::to_string(results["connection_error"].get<std::uint64_t>()
                            + results["cut"].get<std::uint64_t>()));
        cell(count(results["timed_out"]));
        cell(std::to_string(row["incomplete"].get<std::uint64_t>()
                            + row["wrong"].get<std::uint64_t>()
                            + row["foreign"].get<std::uint64_t>()));
        cell(quantileCell(row["first_token_ms"]), kQuantilesWidth);
        cell(quantileCell(row["answer_ms"]), kQuantilesWidth);
        stream << '\n';
    }
    stream << "total: " << report_["total"].dump() << '\n'
           << "truth: " << report_["truth"].dump() << '\n'
           << "engines: " << report_["engines"].dump() << '\n'
           << "generator: " << report_["generator"].dump() << '\n';
}

} // namespace crocusport
