#ifndef CROCUSPORT_ROUTER_H
#define CROCUSPORT_ROUTER_H

#include "healthmonitor.h"
#include "manifestwatcher.h"
#include "operatorservice.h"
#include "peercontrol.h"
#include "requestexplainer.h"
#include "routerservices.h"

#include "crocusport/transport/clientmemory.h"
#include "crocusport/transport/hostlistclient.h"
#include "crocusport/transport/httpserver.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

/*!
    One router process: owns all parts and passes events between them.

    Thread safety: loop thread only. The loop must outlive the router.
*/
class Router
{
public:
    //! Opens the three ports and starts all parts. Fails with ListenFailed.
    static Result<std::unique_ptr<Router>> create(EventLoop &loop, Settings settings);

    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /*!
        Shuts down without cutting off a request: becomes unready, keeps accepting for the load
        balancer's delay, then finishes what is open and stops the loop.
    */
    void shutDown();

    //! Whether the load balancer may send requests here.
    bool isReady() const;
    std::size_t liveMemberCount() const { return peers_->membership().liveMembers().size(); }
    std::size_t backendServerCount() const { return backends_.servers().size(); }

    const SocketAddress &callersAddress() const { return callers_->address(); }
    const SocketAddress &peersAddress() const { return peers_->network().self().address; }
    const SocketAddress &operatorsAddress() const { return operators_->address(); }

private:
    Router(EventLoop &loop, Settings settings);

    Result<void> startPeers();
    Result<void> startServers();

    void onPeerMessage(const RouterName &from, const PeerMessage &message);
    void onMembersChanged(const std::vector<RouterName> &live);
    void onObservation(const Observation &observation);
    void onDocument(const std::string &document, ConfigurationSource source);
    void adopt(Configuration configuration, const std::string &document,
               ConfigurationSource source);
    void onHostList(const std::vector<BackendServer> &servers);
    void observe(const Observation &observation);

    void tick();
    void continueShutdown();
    std::string statusJson() const;
    std::string metricsText();

    EventLoop &loop_;
    Settings settings_;
    Incarnation incarnation_;
    HttpClient httpClient_;
    StoreClient store_;
    HostListClient hostList_;
    ConfigurationReplica configuration_;
    ClaimRegistry<StoreClient> claims_;
    AnswerMemory answerMemory_ { settings_.limits.answerMemoryBytes };
    BackendDirectory backends_;
    RequestMetrics metrics_;
    RequestJournal journal_;
    RequestIdGenerator requestIds_;
    RetryBudgets retryBudgets_;
    RateLimiter teamLimits_;
    SlotDispatcher slots_;
    RouterServices services_;
    ManifestWatcher manifest_;
    RequestExplainer explainer_;
    HealthMonitor health_;
    std::unique_ptr<PeerControl> peers_;
    std::unique_ptr<OperatorService> operators_;
    std::optional<ClientMemory> clientMemory_;
    std::unique_ptr<HttpServer> callers_;
    Timer tickTimer_;
    Instant started_;
    Instant nextManifestRead_;
    std::optional<Instant> stopRequestedAt_;
    std::optional<Instant> adoptedAt_;
};

} // namespace crocusport

#endif // CROCUSPORT_ROUTER_H
