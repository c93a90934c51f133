#include "comparison.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <map>
#include <sstream>
#include <utility>

namespace crocusport {

namespace {

using Json = nlohmann::json;

constexpr int kColumnWidth = 11;
constexpr int kLabelWidth = 20;

//! Values that add up over runs, and those of which the mean counts.
struct Sums
{
    std::size_t runs = 0;
    std::vector<std::pair<std::string, double>> attainment; //!< By class, in the order of the mix.
    std::map<std::string, double> means;
    std::map<std::string, std::uint64_t> totals;
};

double wastedShare(const Json &report)
{
    const auto generated = report["engines"].value("engine_tokens_generated_total", 0.0);
    if (generated <= 0)
        return 0;
    return std::max(0.0, 1 - report["total"]["useful_tokens"].get<double>() / generated);
}

void addReport(const Json &report, Sums &sums)
{
    ++sums.runs;
    const auto &total = report["total"];
    sums.means["goodput_per_s"] += total["goodput_per_s"].get<double>();
    sums.means["wasted_share"] += wastedShare(report);
    sums.means["smaller_teams"] += total["attainment_of_smaller_teams"].get<double>();
    sums.totals["bad_answers"] += total["bad_answers"].get<std::uint64_t>();
    for (const auto *const name :
         { "duplicate_bookings", "told_not_run_but_run", "completed_bookings_not_run" })
        sums.totals["false_outcomes"] += report["truth"][name].get<std::uint64_t>();
    for (const auto &row : report["classes"]) {
        const auto name = row["name"].get<std::string>();
        const auto attainment = row["attainment"].get<double>();
        const auto found = std::find_if(sums.attainment.begin(), sums.attainment.end(),
                                        [&](const auto &entry) { return entry.first == name; });
        if (found == sums.attainment.end())
            sums.attainment.emplace_back(name, attainment);
        else
            found->second += attainment;
        if (!row["is_urgent_stream"].get<bool>())
            continue;
        sums.means["peak_attainment"] += row["attainment_at_peak"].get<double>();
        sums.means["first_token_p99_ms"] += row["first_token_ms"]["p99"].get<double>();
        sums.means["wait_p99_ms"] += row["wait_p99_ms"].get<double>();
    }
}

std::string fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

} // namespace

Result<Comparison> Comparison::load(const std::vector<std::string> &files)
{
    std::vector<Json> reports;
    for (const auto &file : files) {
        std::ifstream stream(file);
        if (!stream)
            return makeError(ResultCode::FileUnreadable, "cannot read " + file);
        auto report = Json::parse(stream, nullptr, false);
        if (!report.is_object() || !report.contains("labels"))
            return makeError(ResultCode::BadJson, file + " is no report of a run");
        reports.push_back(std::move(report));
    }
    try {
        return Comparison(reports);
    } catch (const Json::exception &exception) {
        return makeError(ResultCode::BadJson, exception.what());
    }
}

Comparison::Comparison(const std::vector<Json> &reports)
{
    std::vector<std::pair<std::pair<std::string, std::string>, Sums>> groups;
    for (const auto &report : reports) {
        const std::pair key(report["labels"].value("scenario", std::string("-")),
                            report["labels"].value("policy", std::string("-")));
        auto found = std::find_if(groups.begin(), groups.end(),
                                  [&](const auto &group) { return group.first == key; });
        if (found == groups.end()) {
            groups.emplace_back(key, Sums());
            found = std::prev(groups.end());
        }
        addReport(report, found->second);
    }
    for (const auto &[key, sums] : groups) {
        const auto runs = static_cast<double>(sums.runs);
        Json row = { { "scenario", key.first },
                     { "policy", key.second },
                     { "runs", sums.runs },
                     { "classes", Json::array() } };
        for (const auto &[name, sum] : sums.attainment)
            row["classes"].push_back({ { "name", name }, { "attainment", sum / runs } });
        for (const auto &[name, sum] : sums.means)
            row[name] = sum / runs;
        for (const auto &[name, sum] : sums.totals)
            row[name] = sum;
        rows_.push_back(std::move(row));
    }
}

void Comparison::printTable(std::ostream &stream) const
{
    if (rows_.empty())
        return;
    const auto cell = [&stream](std::string text, int width = kColumnWidth) {
        text.resize(std::min(text.size(), static_cast<std::size_t>(width)));
        stream << std::setw(width) << text << ' ';
    };
    stream << "Attainment in %; the first class with a first-token target gives wait and first.\n"
           << std::left;
    cell("scenario", kLabelWidth);
    cell("policy", kLabelWidth);
    stream << std::right;
    cell("runs", 4);
    for (const auto &entry : rows_[0]["classes"])
        cell(entry["name"].get<std::string>());
    for (const auto *const title : { "at peak", "small teams", "goodput/s", "wasted %",
                                     "wait p99 ms", "first p99", "bad", "false" })
        cell(title);
    stream << '\n';
    for (const auto &row : rows_) {
        stream << std::left;
        cell(row["scenario"].get<std::string>(), kLabelWidth);
        cell(row["policy"].get<std::string>(), kLabelWidth);
        stream << std::right;
        cell(row["runs"].dump(), 4);
        for (const auto &entry : row["classes"])
            cell(fixed(100 * entry["attainment"].get<double>(), 2));
        cell(fixed(100 * row.value("peak_attainment", 0.0), 2));
        cell(fixed(100 * row["smaller_teams"].get<double>(), 2));
        cell(fixed(row["goodput_per_s"], 1));
        cell(fixed(100 * row["wasted_share"].get<double>(), 2));
        cell(fixed(row.value("wait_p99_ms", 0.0), 0));
        cell(fixed(row.value("first_token_p99_ms", 0.0), 0));
        cell(row["bad_answers"].dump());
        cell(row["false_outcomes"].dump());
        stream << '\n';
    }
}

} // namespace crocusport
