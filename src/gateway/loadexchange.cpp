#include "loadexchange.h"

#include "cborstructure.h"

#include "crocusport/protocol/socketaddresstext.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocusport {

namespace {

using Json = nlohmann::json;

// Sensitivities are encoded in hundredths.
constexpr double kSensitivityScale = 100;

// Nesting depth and size: a report is an array of arrays of rows.
constexpr CborLimits kLimits { 4, 65'536 };

constexpr std::size_t kReportFields = 13;
constexpr std::size_t kNeighbourFields = 3;
constexpr char kNeighbourListStart = '\x81'; // CBOR: array with one item.
constexpr unsigned kLeavingFlag = 1;
constexpr unsigned kZoneFlag = 2;
constexpr unsigned kNeighbourQueryFlag = 4;
constexpr unsigned kRelayedFlag = 8;
constexpr unsigned kNeighbourReplyFlag = 16;
// Larger reported zone sizes are implausible and are capped to this value.
constexpr std::size_t kMaxZoneSize = 10'000;
constexpr std::size_t kLoadFields = 5;
constexpr std::size_t kPairFields = 2;
constexpr std::size_t kHintFieldsWithEra = 3;
// Later clocks are implausible; the bound keeps sums of times in range.
constexpr std::uint64_t kMaxClockMs = 10'000'000'000'000;
constexpr std::size_t kSuspicionFields = 3;
constexpr auto kMaxPartVerdict = static_cast<std::uint64_t>(PartVerdict::Tried);
constexpr std::uint64_t kMaxTrials = 1000;

std::uint64_t number(const Json &json)
{
    return json.is_number_unsigned() ? json.get<std::uint64_t>() : 0;
}

std::string text(const Json &json)
{
    return json.is_string() ? json.get<std::string>() : std::string();
}

bool isArrayOf(const Json &json, std::size_t size)
{
    return json.is_array() && json.size() == size;
}

std::optional<PartReport> partReportFrom(const Json &row)
{
    if (!isArrayOf(row, kSuspicionFields) || !row[2].is_array() || number(row[1]) > kMaxPartVerdict)
        return std::nullopt;
    PartReport report;
    report.part = Fingerprint(number(row[0]));
    report.verdict = static_cast<PartVerdict>(number(row[1]));
    if (report.verdict == PartVerdict::Tried) {
        if (row[2].empty())
            return std::nullopt;
        report.trials = static_cast<int>(std::min(number(row[2][0]), kMaxTrials));
        return report;
    }
    for (const auto &crash : row[2]) {
        if (report.crashes.size() < PartCrashLedger::kMaxCrashes)
            report.crashes.push_back(text(crash));
    }
    return report;
}

std::optional<StoreHint> storeHintFrom(const Json &row)
{
    const bool hasEra = isArrayOf(row, kHintFieldsWithEra);
    if ((!isArrayOf(row, kPairFields) && !hasEra) || (hasEra && number(row[2]) > kMaxEra))
        return std::nullopt;
    return StoreHint { { StoreEra(hasEra ? number(row[2]) : 0),
                         static_cast<StoreRevision>(number(row[0])) },
                       Milliseconds(static_cast<std::int64_t>(number(row[1]))) };
}

ServerLoad loadFrom(const Json &row)
{
    ServerLoad load;
    load.requests = static_cast<std::uint32_t>(number(row[1]));
    load.sensitivity = static_cast<double>(number(row[2])) / kSensitivityScale;
    load.prefillTokens = number(row[3]);
    load.memoryTokens = number(row[4]);
    return load;
}

} // namespace

// Arrays instead of maps with field names: traffic between availability zones is expensive.
std::string encodeLoadReport(const LoadReport &report)
{
    auto loads = Json::array();
    for (const auto &[server, load] : report.loads)
        loads.push_back({ server, load.requests,
                          static_cast<std::uint64_t>(load.sensitivity * kSensitivityScale),
                          load.prefillTokens, load.memoryTokens });
    auto prefixes = Json::array();
    for (const auto &[server, prefix] : report.promptPrefixes)
        prefixes.push_back({ server, prefix });
    auto suspicions = Json::array();
    for (const auto &suspicion : report.suspicions)
        suspicions.push_back({ suspicion.fingerprint.value(), suspicion.crash,
                               suspicion.evidence == CrashEvidence::BeforeAnswer });
    // Routers of earlier versions ignore rows of a list of suspicions that have another structure.
    for (const auto &part : report.partReports) {
        auto details = Json::array();
        if (part.verdict == PartVerdict::Tried)
            details.push_back(static_cast<std::uint64_t>(part.trials));
        for (const auto &crash : part.crashes)
            details.push_back(crash);
        suspicions.push_back(
            { part.part.value(), static_cast<std::uint64_t>(part.verdict), std::move(details) });
    }
    auto leaving = Json::array();
    for (const auto &[server, start] : report.leaving)
        leaving.push_back({ server, start.value() });
    auto store = Json::array();
    if (report.store) {
        const auto &[relevant, age] = *report.store;
        store = Json::array({ relevant.revision, age.count() });
        // Earlier versions ignore a hint with an era, so they do not mix up revisions.
        if (relevant.era != StoreEra())
            store.push_back(relevant.era.value());
    }
    const auto flags = (report.isLeaving ? kLeavingFlag : 0U)
        | (report.scope == ReportScope::Zone ? kZoneFlag : 0U)
        | (report.isNeighbourQuery ? kNeighbourQueryFlag : 0U)
        | (report.isRelayed ? kRelayedFlag : 0U)
        | (report.isNeighbourReply ? kNeighbourReplyFlag : 0U);
    // Earlier versions ignore rows of another length.
    Json paces = report.paces;
    if (report.clock)
        paces.push_back(
            Json::array({ std::chrono::duration_cast<Milliseconds>(*report.clock).count() }));
    const Json message = Json::array(
        { report.router.name.value(), report.router.address.value(), report.router.zone.value(),
          report.sequence, flags, std::move(loads), std::move(prefixes), std::move(suspicions),
          std::move(store), report.broken, std::move(paces), std::move(leaving), report.zoneSize });
    const auto bytes = Json::to_cbor(message);
    return { bytes.begin(), bytes.end() };
}

Result<LoadReport> decodeLoadReport(std::string_view bytes)
{
    // The decoder is recursive, so deeply nested input must be rejected before decoding.
    if (const auto fault = findCborFault(bytes, kLimits); !fault.empty())
        return makeError(ResultCode::MalformedMessage, "load report: " + std::string(fault));
    const auto json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!isArrayOf(json, kReportFields) || !json[5].is_array() || !json[6].is_array()
        || !json[7].is_array() || !json[8].is_array() || !json[9].is_array() || !json[10].is_array()
        || !json[11].is_array())
        return makeError(ResultCode::MalformedMessage, "load report: unexpected structure");
    LoadReport report;
    report.router.name = RouterName(text(json[0]));
    report.router.address = SocketAddress(text(json[1]));
    report.router.zone = AvailabilityZone(text(json[2]));
    report.sequence = number(json[3]);
    const auto flags = number(json[4]);
    report.isLeaving = (flags & kLeavingFlag) != 0;
    report.isNeighbourQuery = (flags & kNeighbourQueryFlag) != 0;
    report.isNeighbourReply = (flags & kNeighbourReplyFlag) != 0;
    report.isRelayed = (flags & kRelayedFlag) != 0;
    report.zoneSize = std::min<std::size_t>(number(json[12]), kMaxZoneSize);
    report.scope = (flags & kZoneFlag) != 0 ? ReportScope::Zone : ReportScope::Router;
    report.store = storeHintFrom(json[8]);
    for (const auto &row : json[10]) {
        if (isArrayOf(row, 1) && number(row[0]) <= kMaxClockMs)
            report.clock = Milliseconds(static_cast<std::int64_t>(number(row[0])));
        if (isArrayOf(row, kPairFields))
            report.paces.emplace_back(static_cast<ServerHash>(number(row[0])),
                                      static_cast<std::uint32_t>(number(row[1])));
    }
    for (const auto &row : json[11]) {
        if (isArrayOf(row, kPairFields))
            report.leaving.emplace_back(static_cast<ServerHash>(number(row[0])),
                                        StartNumber(number(row[1])));
    }
    for (const auto &server : json[9])
        report.broken.push_back(static_cast<ServerHash>(number(server)));
    if (report.router.name.value().empty())
        return makeError(ResultCode::MalformedMessage, "load report: router name is missing");
    for (const auto &row : json[5]) {
        if (isArrayOf(row, kLoadFields))
            report.loads.emplace_back(static_cast<ServerHash>(number(row[0])), loadFrom(row));
    }
    for (const auto &row : json[6]) {
        if (isArrayOf(row, kPairFields))
            report.promptPrefixes.emplace_back(static_cast<ServerHash>(number(row[0])),
                                               static_cast<PromptPrefixHash>(number(row[1])));
    }
    for (const auto &row : json[7]) {
        if (isArrayOf(row, kSuspicionFields) && row[2].is_boolean())
            report.suspicions.push_back(
                { Fingerprint(number(row[0])), text(row[1]),
                  row[2].get<bool>() ? CrashEvidence::BeforeAnswer : CrashEvidence::DuringAnswer });
        else if (const auto part = partReportFrom(row))
            report.partReports.push_back(*part);
    }
    return report;
}

std::string encodeNeighbours(const std::vector<RouterEntry> &routers)
{
    auto rows = Json::array();
    for (const auto &router : routers)
        rows.push_back({ router.name.value(), router.address.value(), router.zone.value() });
    const auto bytes = Json::to_cbor(Json::array({ std::move(rows) }));
    return { bytes.begin(), bytes.end() };
}

std::optional<std::vector<RouterEntry>> decodeNeighbours(std::string_view bytes)
{
    // Most datagrams are load reports. The first byte distinguishes them, so that they are not
    // parsed twice.
    if (!bytes.starts_with(kNeighbourListStart) || !findCborFault(bytes, kLimits).empty())
        return std::nullopt;
    const auto json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!isArrayOf(json, 1) || !json[0].is_array())
        return std::nullopt;
    std::vector<RouterEntry> routers;
    for (const auto &row : json[0]) {
        if (!isArrayOf(row, kNeighbourFields) || !isSocketAddressText(text(row[1])))
            return std::nullopt;
        routers.push_back({ RouterName(text(row[0])), SocketAddress(text(row[1])),
                            AvailabilityZone(text(row[2])) });
    }
    return routers;
}

bool PeerLoads::Loads::isCurrent(Instant now) const
{
    return heard && now - *heard <= RouterDirectory::kSilenceLimit;
}

bool PeerLoads::replace(Loads &loads, const LoadReport &report, Instant now)
{
    // A lower number after a long silence comes from a router that has restarted.
    if (loads.heard && report.sequence <= loads.sequence && loads.isCurrent(now))
        return false;
    for (const auto &[hash, load] : loads.loads) {
        if (const auto server = directory_.find(hash))
            server->others -= load;
    }
    loads.sequence = report.sequence;
    loads.heard = now;
    loads.loads.clear();
    for (const auto &[server, load] : report.loads)
        loads.loads[server] = load;
    add(loads.loads);
    return true;
}

void PeerLoads::add(const std::unordered_map<ServerHash, ServerLoad> &loads)
{
    for (const auto &[hash, load] : loads) {
        if (const auto server = directory_.find(hash))
            server->others += load;
    }
}

bool PeerLoads::applyReport(const LoadReport &report, Instant now)
{
    if (report.scope == ReportScope::Zone)
        return report.router.zone != zone_ && replace(zones_[report.router.zone], report, now);
    if (report.isLeaving) {
        peers_.erase(report.router.name);
        refresh(now);
        return true;
    }
    auto &peer = peers_[report.router.name];
    peer.router = report.router;
    return replace(peer.own, report, now);
}

// Recomputes the sums, so that loads of removed servers and routers do not remain.
void PeerLoads::refresh(Instant now)
{
    std::erase_if(peers_, [&](const auto &item) { return !item.second.own.isCurrent(now); });
    directory_.forEach(
        [](const ServerDirectory::ServerPointer &server) { server->others = ServerLoad(); });
    for (const auto &[name, peer] : peers_)
        add(peer.own.loads);
    for (auto &[zone, loads] : zones_) {
        if (!loads.isCurrent(now))
            loads.loads.clear();
        add(loads.loads);
    }
}

bool PeerLoads::hasReports(Instant now) const
{
    const auto isCurrent = [now](const Loads &loads) { return loads.isCurrent(now); };
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto &item) { return isCurrent(item.second.own); })
        || std::any_of(zones_.begin(), zones_.end(),
                       [&](const auto &item) { return isCurrent(item.second); });
}

Duration PeerLoads::meanAge(Instant now) const
{
    Duration sum {};
    for (const auto &[name, peer] : peers_)
        sum += now - peer.own.heard.value_or(now);
    return peers_.empty() ? sum : sum / static_cast<std::int64_t>(peers_.size());
}

std::unordered_map<ServerHash, ServerLoad> PeerLoads::zoneLoads(Instant now) const
{
    std::unordered_map<ServerHash, ServerLoad> sums;
    for (const auto &[name, peer] : peers_) {
        if (peer.router.zone != zone_ || !peer.own.isCurrent(now))
            continue;
        for (const auto &[server, load] : peer.own.loads)
            sums[server] += load;
    }
    return sums;
}

} // namespace crocusport
