#ifndef CROCUSPORT_GATEWAY_H
#define CROCUSPORT_GATEWAY_H

#include "crashrecords.h"
#include "gatewayservices.h"
#include "registration.h"
#include "routerexchange.h"
#include "storefeed.h"

#include "crocusport/transport/httpserver.h"

#include <map>
#include <memory>
#include <optional>

namespace crocusport {

/*!
    One gateway process: serves callers by the configuration and the backend servers that it reads
    from the platform's store, in the formats of a deployment.

    Thread safety: loop thread only. The loop must outlive the gateway.
*/
class Gateway
{
public:
    //! Opens the ports and starts all parts. \a formats must outlive the gateway. Fails with
    //! ListenFailed.
    static Result<std::unique_ptr<Gateway>> create(EventLoop &loop, GatewaySettings settings,
                                                   const FormatTable &formats, int logDescriptor);
    ~Gateway();

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /*!
        Shuts down without cutting off a request: becomes unready, keeps accepting for the load
        balancer's delay, then finishes what is open and stops the loop.
    */
    void shutDown();
    //! Takes over bounds and pauses of \a settings; addresses stay as they are.
    void reload(const GatewaySettings &settings);

    //! Whether the load balancer may send requests here.
    bool isReady() const;
    const SocketAddress &callersAddress() const { return callers_->address(); }
    const SocketAddress &readyAddress() const { return ready_->address(); }

private:
    Gateway(EventLoop &loop, GatewaySettings settings, const FormatTable &formats,
            int logDescriptor);

    Result<void> listen();
    // Each returns whether something has changed that others should read.
    bool onStoreChange(const StoreChange &change);
    bool onConfiguration(const std::string &text);
    bool onServer(const BackendServerName &name, const StoreChange &change);
    bool updateServer(const ServerEntry &entry);
    bool removeServer(const BackendServerName &name);
    //! \a server is no longer what it was; it may have crashed under requests that were given up.
    void onServerChanged(const KnownServer &server);
    //! The server has said so in an answer, to this router or to another.
    void onServerLeaving(KnownServer &server, std::string_view source);
    Result<void> startExchange();
    void onLoadChanged();
    void updateRegistration();
    StorePlan::Limits planLimits() const;
    bool isKnowledgeFresh();
    std::optional<StoreChanges> storeChanges(StoreRevision after) const;
    //! A request of this router was under way when a server crashed.
    void noteCrashSuspicion(const CrashSuspicion &suspicion);
    //! Returns whether it was new.
    bool takeCrashSuspicion(const CrashSuspicion &suspicion, const RouterName &source);
    Duration configurationAge() const;
    RetryWindow &retryWindow(const PoolName &pool);
    void answerReady(HttpExchange &exchange) const;
    void answerMetrics(HttpExchange &exchange);
    void tick();
    void continueShutdown();
    void applyLimits();

    EventLoop &loop_;
    GatewaySettings settings_;
    const FormatTable &formats_;
    LogWriter log_;
    std::mt19937_64 random_;
    HttpClient backends_;
    HttpClient storeClient_;
    HttpClient routerClient_;
    ServerDirectory directory_;
    PrefixMemory prefixes_;
    ServerSelector selector_;
    WaitingList waiting_;
    SilenceLimits silence_;
    CrashLedger crashes_;
    UnansweredRuns unanswered_;
    AnswerMemory answerMemory_;
    RequestMetrics metrics_;
    std::shared_ptr<const RoutingTable> table_;
    std::unordered_map<PoolName, RetryWindow> retryWindows_;
    std::map<BackendServerName, Instant> delayedRemovals_;
    std::unique_ptr<HttpServer> ready_;
    std::unique_ptr<HttpServer> callers_;
    std::unique_ptr<HttpServer> metricsServer_;
    std::unique_ptr<RouterExchange> exchange_;
    std::unique_ptr<StoreFeed> feed_;
    std::unique_ptr<CrashRecords> crashRecords_;
    std::unique_ptr<Registration> registration_;
    Timer tickTimer_;
    Timer waitingTimer_;
    Instant startedAt_ = monotonicNow();
    Instant nextHousekeeping_;
    std::optional<Instant> stopRequestedAt_;
    GatewayServices services_; //!< Last, since requests use all the rest when they are destroyed.
};

} // namespace crocusport

#endif // CROCUSPORT_GATEWAY_H
