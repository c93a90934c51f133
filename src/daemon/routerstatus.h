#ifndef CROCUSPORT_ROUTERSTATUS_H
#define CROCUSPORT_ROUTERSTATUS_H

#include "manifestwatcher.h"
#include "peercontrol.h"
#include "requestmetrics.h"
#include "slotdispatcher.h"

#include "crocusport/coordination/configurationreplica.h"
#include "crocusport/protocol/settings.h"

#include <cstddef>
#include <optional>
#include <string>

namespace crocusport {

//! What /status is made from.
struct RouterStatusSources
{
    const Settings &settings;
    const PeerControl &peers;
    const ConfigurationReplica &configuration;
    const SlotDispatcher &slots;
    const ManifestWatcher &manifest;
    std::size_t openRequests = 0;
    bool isReady = false;
    Duration uptime {};
    std::optional<Duration> configurationAge;
};

//! The state of one router as JSON, for `crocusport status`. Loop thread only.
std::string routerStatusJson(const RouterStatusSources &sources, const RequestMetrics &metrics);

} // namespace crocusport

#endif // CROCUSPORT_ROUTERSTATUS_H
