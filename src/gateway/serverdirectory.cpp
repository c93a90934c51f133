#include "serverdirectory.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace crocusport {

namespace {

// Weight of the newest response in the moving share of failures: about the last ten count.
constexpr double kFailureWeight = 0.1;
// Weight of the newest pace sample; short fluctuations of a server must not count as slowness.
constexpr double kPaceWeight = 0.25;
// Slowness decays exponentially after the last sample, to about a third within this time.
constexpr Duration kSlownessDecayTime = std::chrono::seconds(4);
// Samples older than this are ignored.
constexpr Duration kPaceRetentionTime = std::chrono::seconds(10);
// Load and short fluctuations make paces of healthy servers differ by up to this factor.
constexpr double kUsualSpread = 1.6;
constexpr double kMaxSlowness = 8;
// Weight of the newest request in the moving mean of run times.
constexpr double kRunWeight = 0.1;
// A server is avoided for this time after a broken connection. The time doubles with each further
// one in a row, up to the maximum.
constexpr Duration kMinAvoidance = std::chrono::milliseconds(250);
constexpr Duration kMaxAvoidance = std::chrono::seconds(2);
constexpr int kMaxDoublings = 3;
// A server rejects requests when it is full; its queue is shorter after about this time.
constexpr Duration kRefusalAvoidance = std::chrono::milliseconds(100);
// Within this time, the entry of a crashed server expires or is replaced by that of its restart.
constexpr Duration kMisdirectedTime = std::chrono::seconds(3);
// Broken connections are reported to other routers for this long, since datagrams may be lost.
constexpr Duration kBrokenReportTime = std::chrono::milliseconds(600);
// Avoidance after another router's report, which is weaker evidence than repeated faults that this
// router saw itself.
constexpr Duration kReportedAvoidance = std::chrono::milliseconds(700);

} // namespace

ServerHash serverHash(const BackendServerName &name)
{
    return XXH32(name.value().data(), name.value().size(), 0);
}

ServerLoad &ServerLoad::operator+=(const ServerLoad &other)
{
    requests += other.requests;
    sensitivity += other.sensitivity;
    prefillTokens += other.prefillTokens;
    memoryTokens += other.memoryTokens;
    return *this;
}

ServerLoad &ServerLoad::operator-=(const ServerLoad &other)
{
    requests -= std::min(requests, other.requests);
    sensitivity = std::max(0.0, sensitivity - other.sensitivity);
    prefillTokens -= std::min(prefillTokens, other.prefillTokens);
    memoryTokens -= std::min(memoryTokens, other.memoryTokens);
    return *this;
}

void ServerHealth::noteAnswer(bool isFailure, Instant /*now*/)
{
    failureShare_ += kFailureWeight * ((isFailure ? 1 : 0) - failureShare_);
    brokenInRow_ = 0;
}

void ServerHealth::noteRefusal(Instant now)
{
    avoidedUntil_ = std::max(avoidedUntil_, now + kRefusalAvoidance);
}

void ServerHealth::noteBrokenConnection(Instant now)
{
    failureShare_ += kFailureWeight * (1 - failureShare_);
    const auto doublings = std::min(brokenInRow_++, kMaxDoublings);
    const auto avoidance = std::min(kMinAvoidance * (1 << doublings), kMaxAvoidance);
    avoidedUntil_ = std::max(avoidedUntil_, now + avoidance);
    brokenAt_ = now;
}

void ServerHealth::noteUnreachable(Instant now)
{
    noteBrokenConnection(now);
    unreachableUntil_ = std::max(unreachableUntil_, avoidedUntil_);
}

void ServerHealth::noteMisdirected(Instant now)
{
    unreachableUntil_ = now + kMisdirectedTime;
    avoidedUntil_ = unreachableUntil_;
    brokenAt_ = now;
}

void ServerHealth::noteBrokenElsewhere(Instant now)
{
    avoidedUntil_ = std::max(avoidedUntil_, now + kReportedAvoidance);
}

void ServerHealth::notePause(Duration pause, Instant now)
{
    pausedUntil_ = std::max(pausedUntil_, now + pause);
}

bool ServerHealth::isJustBroken(Instant now) const
{
    return brokenAt_ != Instant() && now - brokenAt_ < kBrokenReportTime;
}

void ServerPace::note(double ms, Instant now)
{
    const bool isFirst = notedAt_ == Instant() || now - notedAt_ > kPaceRetentionTime;
    meanMs_ = isFirst ? ms : meanMs_ + kPaceWeight * (ms - meanMs_);
    notedAt_ = now;
}

std::optional<double> ServerPace::recent(Instant now) const
{
    if (notedAt_ == Instant() || now - notedAt_ > kPaceRetentionTime)
        return std::nullopt;
    return meanMs_;
}

double ServerPace::slowness(double medianMs, Instant now) const
{
    const auto mean = recent(now);
    if (!mean || medianMs <= 0 || *mean < kUsualSpread * medianMs)
        return 1;
    const double factor = std::min(*mean / medianMs, kMaxSlowness);
    return 1 + (factor - 1) * std::exp(-toSeconds(now - notedAt_) / toSeconds(kSlownessDecayTime));
}

ServerLoad KnownServer::load() const
{
    auto sum = own;
    sum += others;
    return sum;
}

void KnownServer::noteRun(Duration time)
{
    meanRunMs += kRunWeight * (toSeconds(time) * 1000 - meanRunMs);
}

int KnownServer::noteCrash(Instant sentAt, Instant now)
{
    if (crashes_ == 0 || sentAt > crashedAt_) {
        ++crashes_;
        crashedAt_ = now;
    }
    return crashes_;
}

void ServerDirectory::update(const ServerEntry &entry, Instant now)
{
    auto &server = servers_[entry.name];
    const auto known = server ? server : takeRemoved(entry);
    const bool isSameStart = known && known->entry.start == entry.start;
    const bool isSame =
        isSameStart && known->entry.pool == entry.pool && known->entry.address == entry.address;
    if (server && !isSame) {
        server->isGone = true;
        unlink(server);
        server = nullptr;
    }
    if (!server) {
        server = isSame ? known : std::make_shared<KnownServer>();
        server->hash = serverHash(entry.name);
        server->isGone = false;
        // A server that is leaving does not stay because it is registered otherwise.
        server->isLeaving = isSameStart && known->isLeaving;
        server->entry = entry;
        link(server);
    }
    server->entry = entry;
    server->coldUntil = now + entry.coldRemaining;
}

void ServerDirectory::remove(const BackendServerName &name, Instant now)
{
    const auto found = servers_.find(name);
    if (found == servers_.end())
        return;
    const auto server = found->second;
    server->isGone = true;
    unlink(server);
    hashes_.erase(server->hash);
    servers_.erase(found);
    removed_.insert_or_assign(name, RemovedServer { server, now });
}

std::vector<ServerDirectory::ServerPointer> ServerDirectory::expire(Instant now)
{
    std::vector<ServerPointer> expired;
    for (const auto &[name, removed] : removed_) {
        if (now - removed.at >= kRetentionTime)
            expired.push_back(removed.server);
    }
    for (const auto &server : expired)
        removed_.erase(server->entry.name);
    return expired;
}

ServerDirectory::ServerPointer ServerDirectory::takeRemoved(const ServerEntry &entry)
{
    const auto found = removed_.find(entry.name);
    if (found == removed_.end())
        return nullptr;
    auto server = std::move(found->second.server);
    removed_.erase(found);
    return server;
}

void ServerDirectory::link(const ServerPointer &server)
{
    hashes_[server->hash] = server;
    auto &pool = pools_[server->entry.pool];
    pool.insert(std::upper_bound(
                    pool.begin(), pool.end(), server,
                    [](const auto &left, const auto &right) { return left->hash < right->hash; }),
                server);
    byAddress_[server->entry.address].push_back(server);
    settleAddress(server->entry.address);
}

void ServerDirectory::unlink(const ServerPointer &server)
{
    std::erase(pools_[server->entry.pool], server);
    const auto found = byAddress_.find(server->entry.address);
    std::erase(found->second, server);
    if (found->second.empty())
        byAddress_.erase(found);
    else
        settleAddress(server->entry.address);
}

// The entry of a crashed server remains until it expires. In the meantime its successor may have
// registered the same address under another name, and rejects requests for the old name.
void ServerDirectory::settleAddress(const SocketAddress &address)
{
    const auto &servers = byAddress_[address];
    StartNumber latest;
    for (const auto &server : servers) {
        if (isNamed(server->entry.pool))
            latest = std::max(latest, server->entry.start);
    }
    for (const auto &server : servers)
        server->isSuperseded = server->entry.start < latest;
}

void ServerDirectory::setPools(std::unordered_set<PoolName> pools)
{
    if (named_ == pools)
        return;
    named_ = std::move(pools);
    for (const auto &[address, servers] : byAddress_)
        settleAddress(address);
}

const std::vector<ServerDirectory::ServerPointer> &ServerDirectory::pool(const PoolName &name) const
{
    static const std::vector<ServerPointer> kEmpty;
    const auto found = pools_.find(name);
    return found == pools_.end() ? kEmpty : found->second;
}

ServerDirectory::ServerPointer ServerDirectory::find(const BackendServerName &name) const
{
    const auto found = servers_.find(name);
    return found == servers_.end() ? nullptr : found->second;
}

ServerDirectory::ServerPointer ServerDirectory::findRetained(ServerHash hash) const
{
    if (auto server = find(hash))
        return server;
    const auto found = std::find_if(removed_.begin(), removed_.end(), [&](const auto &removed) {
        return removed.second.server->hash == hash;
    });
    return found == removed_.end() ? nullptr : found->second.server;
}

ServerDirectory::ServerPointer ServerDirectory::find(ServerHash hash) const
{
    const auto found = hashes_.find(hash);
    return found == hashes_.end() ? nullptr : found->second;
}

} // namespace crocusport
