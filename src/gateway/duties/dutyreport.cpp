#include "dutyreport.h"

#include "cborstructure.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

using Json = nlohmann::json;

// Nesting depth and size: rows of rows, with room for long names of teams.
constexpr CborLimits kLimits { 5, 65'536 };
constexpr char kStart = '\x85'; // CBOR: array with five items; load reports have other lengths.
constexpr std::size_t kFields = 5;
constexpr std::size_t kPairFields = 2;
constexpr std::size_t kDemandFields = 5;
// A datagram of this size and its headers fit into one frame.
constexpr std::size_t kMaxRowBytes = 1200;
// CBOR heads of a row with a name and a count.
constexpr std::size_t kCountBytes = 8;
constexpr std::size_t kDemandBytes = 24;

bool isNumber(const Json &json)
{
    return json.is_number_unsigned();
}

//! Collects rows and starts another datagram when one is full.
class Datagrams
{
public:
    explicit Datagrams(const DutyReport &report) : report_(report), sequence_(report.sequence) { }

    void add(UsageWindow window, const TeamName &team, std::uint64_t count)
    {
        reserve(team.value().size() + kCountBytes);
        if (counts_.empty() || counts_.back()[0] != window)
            counts_.push_back({ window, Json::array() });
        counts_.back()[1].push_back({ team.value(), count });
    }

    void add(const PoolName &pool, const PoolDemand &demand)
    {
        reserve(pool.value().size() + kDemandBytes);
        demand_.push_back({ pool.value(), demand.requests, demand.prefillTokens,
                            demand.outputTokens, demand.running });
    }

    std::vector<std::string> take()
    {
        finish();
        return std::move(datagrams_);
    }

private:
    void reserve(std::size_t bytes)
    {
        if (bytes_ + bytes > kMaxRowBytes)
            finish();
        bytes_ += bytes;
    }

    void finish()
    {
        if (counts_.empty() && demand_.empty())
            return;
        const auto bytes = Json::to_cbor(Json::array(
            { report_.router.value(), report_.incarnation.value(), ++sequence_,
              std::exchange(counts_, Json::array()), std::exchange(demand_, Json::array()) }));
        datagrams_.emplace_back(bytes.begin(), bytes.end());
        bytes_ = 0;
    }

    const DutyReport &report_;
    std::uint64_t sequence_;
    Json counts_ = Json::array();
    Json demand_ = Json::array();
    std::size_t bytes_ = 0;
    std::vector<std::string> datagrams_;
};

std::optional<WindowCounts> countsFrom(const Json &row)
{
    if (!row.is_array() || row.size() != kPairFields || !isNumber(row[0]) || !row[1].is_array())
        return std::nullopt;
    WindowCounts counts { row[0].get<UsageWindow>(), {} };
    for (const auto &team : row[1]) {
        if (!team.is_array() || team.size() != kPairFields || !team[0].is_string()
            || !isNumber(team[1]))
            return std::nullopt;
        counts.counts[TeamName(team[0].get<std::string>())] = team[1].get<std::uint64_t>();
    }
    return counts;
}

bool isDemandRow(const Json &row)
{
    return row.is_array() && row.size() == kDemandFields && row[0].is_string()
        && std::all_of(row.begin() + 1, row.end(), isNumber);
}

} // namespace

std::vector<std::string> encodeDutyReport(const DutyReport &report)
{
    Datagrams datagrams(report);
    for (const auto &window : report.counts) {
        for (const auto &[team, count] : window.counts)
            datagrams.add(window.window, team, count);
    }
    for (const auto &[pool, demand] : report.demand)
        datagrams.add(pool, demand);
    return datagrams.take();
}

bool isDutyReport(std::string_view bytes)
{
    return bytes.starts_with(kStart);
}

std::optional<DutyReport> decodeDutyReport(std::string_view bytes)
{
    // The decoder is recursive, so deeply nested input must be rejected before decoding.
    if (!isDutyReport(bytes) || !findCborFault(bytes, kLimits).empty())
        return std::nullopt;
    const auto json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!json.is_array() || json.size() != kFields || !json[0].is_string() || !isNumber(json[1])
        || !isNumber(json[2]) || !json[3].is_array() || !json[4].is_array())
        return std::nullopt;
    DutyReport report { RouterName(json[0].get<std::string>()),
                        Incarnation(json[1].get<std::uint64_t>()),
                        json[2].get<std::uint64_t>(),
                        {},
                        {} };
    for (const auto &row : json[3]) {
        auto counts = countsFrom(row);
        if (!counts)
            return std::nullopt;
        report.counts.push_back(std::move(*counts));
    }
    for (const auto &row : json[4]) {
        if (!isDemandRow(row))
            return std::nullopt;
        report.demand[PoolName(row[0].get<std::string>())] = { row[1].get<std::uint64_t>(),
                                                               row[2].get<std::uint64_t>(),
                                                               row[3].get<std::uint64_t>(),
                                                               row[4].get<std::uint32_t>() };
    }
    return report;
}

} // namespace crocusport
