#include "loadexchange.h"

#include <nlohmann/json.hpp>

namespace crocusport {

namespace {

using Json = nlohmann::json;

// A router that is silent for this long has no requests that it will report.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(2500);
// A router that does not register is forgotten after this time.
constexpr Duration kForgetTime = std::chrono::seconds(15);
// Sensitivities are sent in hundredths.
constexpr double kSensitivityScale = 100;

constexpr std::size_t kReportFields = 8;
constexpr std::size_t kLoadFields = 5;
constexpr std::size_t kPairFields = 2;

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

// Arrays instead of maps with names: the bytes between availability zones are dear.
std::string encodeLoadReport(const LoadReport &report)
{
    auto loads = Json::array();
    for (const auto &[server, load] : report.loads)
        loads.push_back({ server, load.requests,
                          static_cast<std::uint64_t>(load.sensitivity * kSensitivityScale),
                          load.prefillTokens, load.memoryTokens });
    auto chains = Json::array();
    for (const auto &[server, chain] : report.chains)
        chains.push_back({ server, chain });
    auto suspicions = Json::array();
    for (const auto &suspicion : report.suspicions)
        suspicions.push_back({ suspicion.fingerprint.value(), suspicion.crash });
    const Json message =
        Json::array({ report.router.name.value(), report.router.address.value(),
                      report.router.zone.value(), report.sequence, report.isLeaving ? 1U : 0U,
                      std::move(loads), std::move(chains), std::move(suspicions) });
    const auto bytes = Json::to_cbor(message);
    return { bytes.begin(), bytes.end() };
}

Result<LoadReport> decodeLoadReport(std::string_view bytes)
{
    const auto json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!isArrayOf(json, kReportFields) || !json[5].is_array() || !json[6].is_array()
        || !json[7].is_array())
        return makeError(ResultCode::MalformedMessage, "load report has another form");
    LoadReport report;
    report.router.name = RouterName(text(json[0]));
    report.router.address = SocketAddress(text(json[1]));
    report.router.zone = AvailabilityZone(text(json[2]));
    report.sequence = number(json[3]);
    report.isLeaving = number(json[4]) != 0;
    if (report.router.name.value().empty())
        return makeError(ResultCode::MalformedMessage, "load report names no router");
    for (const auto &row : json[5]) {
        if (isArrayOf(row, kLoadFields))
            report.loads.emplace_back(static_cast<ServerHash>(number(row[0])), loadFrom(row));
    }
    for (const auto &row : json[6]) {
        if (isArrayOf(row, kPairFields))
            report.chains.emplace_back(static_cast<ServerHash>(number(row[0])),
                                       static_cast<ChainHash>(number(row[1])));
    }
    for (const auto &row : json[7]) {
        if (isArrayOf(row, kPairFields))
            report.suspicions.push_back({ Fingerprint(number(row[0])), text(row[1]) });
    }
    return report;
}

void PeerLoads::take(const LoadReport &report, Instant now)
{
    if (report.isLeaving) {
        peers_.erase(report.router.name);
        return;
    }
    auto &peer = peers_[report.router.name];
    // A lower number long after the last report is that of a router that has started again.
    const bool isRestarted = peer.heard && now - *peer.heard > kSilenceLimit;
    if (peer.heard && report.sequence <= peer.sequence && !isRestarted)
        return;
    peer.router = report.router;
    peer.sequence = report.sequence;
    peer.heard = now;
    peer.loads.clear();
    for (const auto &[server, load] : report.loads)
        peer.loads[server] = load;
    refresh(now);
}

void PeerLoads::addRouter(const RouterEntry &router)
{
    auto &peer = peers_[router.name];
    peer.router = router;
    peer.isRegistered = true;
}

void PeerLoads::removeRouter(const RouterName &router)
{
    const auto found = peers_.find(router);
    if (found != peers_.end())
        found->second.isRegistered = false;
}

void PeerLoads::refresh(Instant now)
{
    std::erase_if(peers_, [&](const auto &item) {
        const auto &peer = item.second;
        return !peer.isRegistered && (!peer.heard || now - *peer.heard > kForgetTime);
    });
    std::unordered_map<ServerHash, ServerLoad> sums;
    for (const auto &[name, peer] : peers_) {
        if (!peer.heard || now - *peer.heard > kSilenceLimit)
            continue;
        for (const auto &[server, load] : peer.loads)
            sums[server] += load;
    }
    directory_.forEach([&](const ServerDirectory::ServerPointer &server) {
        const auto sum = sums.find(serverHash(server->entry.name));
        server->others = sum == sums.end() ? ServerLoad() : sum->second;
    });
}

std::vector<RouterEntry> PeerLoads::routers() const
{
    std::vector<RouterEntry> routers;
    routers.reserve(peers_.size());
    for (const auto &[name, peer] : peers_)
        routers.push_back(peer.router);
    return routers;
}

} // namespace crocusport
