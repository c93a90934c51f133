#include "healthmonitor.h"

#include "crocusport/transport/eventloop.h"

#include <utility>

namespace crocusport {

namespace {

// With gossip a leaving server is known everywhere in well under the required 3 s.
constexpr Duration kProbeInterval = std::chrono::seconds(1);
// A busy server answers within milliseconds; a longer silence counts as frozen.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(900);

} // namespace

HealthMonitor::HealthMonitor(EventLoop &loop, HttpClient &client, const BackendDirectory &backends,
                             Handlers handlers)
    : client_(client), backends_(backends), handlers_(std::move(handlers)),
      timer_(loop, [this] { probeAll(); })
{
    timer_.startPeriodic(kProbeInterval);
}

void HealthMonitor::probeAll()
{
    for (const auto &server : backends_.servers()) {
        if (handlers_.isHolder(server.pool))
            probe(server);
    }
}

void HealthMonitor::probe(const BackendServer &server)
{
    if (probes_.contains(server.name))
        return; // The last one is still waiting.
    probes_[server.name] = std::make_unique<HealthProbe>(
        client_, server, kProbeTimeout,
        [this, server](const ProbeResult &result) { onResult(server, result); });
}

void HealthMonitor::onResult(const BackendServer &server, const ProbeResult &result)
{
    probes_.erase(server.name);
    Observation observation;
    observation.server = server.name;
    observation.start = server.start;
    if (result.isLeaving)
        observation.kind = ObservationKind::Leaving;
    else if (result.finding == ProbeFinding::Silent || result.finding == ProbeFinding::Refused)
        observation.kind = ObservationKind::Suspected;
    else
        return;
    handlers_.onObservation(observation);
}

} // namespace crocusport
