#include "crocusport/coordination/configurationreplica.h"

#include "crocusport/coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

//! Number of routers that watch the store on behalf of all.
constexpr std::size_t kStoreWatchers = 3;
//! Time that a peer has to send a document of up to 1 MiB before another peer is asked.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);
//! Time that the live members have to report their versions to a router whose first configuration
//! came from a peer. After this time, the router is ready even if some members have not reported.
constexpr Duration kVersionReportTime = std::chrono::seconds(1);

} // namespace

ConfigurationReplica::ConfigurationReplica(const RouterName &self) : self_(self) { }

bool ConfigurationReplica::adopt(std::shared_ptr<const Configuration> configuration,
                                 std::string document, ConfigurationSource source)
{
    if (!configuration || !isNewerVersion(configuration->version))
        return false;
    version_ = configuration->version;
    configuration_ = std::move(configuration);
    document_ = std::move(document);
    requestedPeer_.reset();
    if (source == ConfigurationSource::Store && newestPeerVersion() <= version_)
        isReady_ = true;
    return true;
}

void ConfigurationReplica::recordPeerVersion(const RouterName &peer, ConfigurationVersion version)
{
    if (peer == self_)
        return;
    if (version > newestPeerVersion()
        || (version == newestPeerVersion() && version > peerVersions_[peer]))
        newestVersionPeer_ = peer;
    auto &known = peerVersions_[peer];
    known = std::max(known, version);
}

void ConfigurationReplica::setMembers(const std::vector<RouterName> &liveMembers)
{
    others_ = liveMembers;
    std::erase(others_, self_);
    const auto watchers = rendezvousOrder("store-watch", liveMembers, kStoreWatchers);
    isStoreWatcher_ =
        liveMembers.empty() || std::find(watchers.begin(), watchers.end(), self_) != watchers.end();
    std::erase_if(peerVersions_, [&](const auto &entry) {
        return std::find(others_.begin(), others_.end(), entry.first) == others_.end();
    });
}

ConfigurationVersion ConfigurationReplica::newestPeerVersion() const
{
    ConfigurationVersion newest;
    for (const auto &[peer, version] : peerVersions_)
        newest = std::max(newest, version);
    return newest;
}

void ConfigurationReplica::updateReadiness(Instant now)
{
    if (isReady_ || !configuration_ || newestPeerVersion() > version_)
        return;
    if (!caughtUpAt_)
        caughtUpAt_ = now;
    const bool haveAllReported = std::all_of(others_.begin(), others_.end(), [&](const auto &peer) {
        return peerVersions_.count(peer) > 0;
    });
    isReady_ = haveAllReported || now - *caughtUpAt_ >= kVersionReportTime;
}

std::vector<OutgoingMessage> ConfigurationReplica::tick(Instant now)
{
    updateReadiness(now);
    const auto newest = newestPeerVersion();
    if (newest <= version_ || (requestedPeer_ && now - *requestedAt_ < kRequestTimeout))
        return {};
    // The peer that last reported the newest version is asked first, because it has sent the
    // document to the fewest other routers. If it does not send the document in time, the next peer
    // by name that has a newer configuration is asked.
    std::vector<RouterName> candidates;
    for (const auto &[peer, version] : peerVersions_) {
        if (version > version_)
            candidates.push_back(peer);
    }
    if (!requestedPeer_) {
        const bool isUsable = newestVersionPeer_ && peerVersions_.count(*newestVersionPeer_) > 0
            && peerVersions_[*newestVersionPeer_] == newest;
        requestedPeer_ = isUsable ? *newestVersionPeer_ : candidates.front();
    } else {
        const auto next = std::upper_bound(candidates.begin(), candidates.end(), *requestedPeer_);
        requestedPeer_ = next == candidates.end() ? candidates.front() : *next;
    }
    requestedAt_ = now;
    return { { *requestedPeer_, ConfigurationRequestMessage { version_ } } };
}

std::optional<OutgoingMessage>
ConfigurationReplica::answer(const RouterName &from,
                             const ConfigurationRequestMessage &request) const
{
    if (request.haveVersion >= version_)
        return std::nullopt;
    return OutgoingMessage { from, ConfigurationMessage { version_, document_ } };
}

} // namespace crocusport
