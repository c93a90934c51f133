#ifndef CROCUSPORT_GATEWAY_H
#define CROCUSPORT_GATEWAY_H

#include "crashrecords.h"
#include "gatewayduties.h"
#include "gatewayservices.h"
#include "registration.h"
#include "routerexchange.h"
#include "serverordercalls.h"
#include "storeditems.h"
#include "storefeed.h"

#include "crocusport/transport/clientmemory.h"
#include "crocusport/transport/httpserver.h"

#include <memory>
#include <optional>

namespace crocusport {

/*!
    One gateway process. Forwards callers' requests to backend servers. Configuration and backend
    servers are read from the platform's store, in the message formats of a deployment.

    Thread safety: loop thread only. The loop must outlive the gateway.
*/
class Gateway
{
public:
    //! Opens the ports and starts the gateway. \a formats must outlive it. Fails with ListenFailed.
    static Result<std::unique_ptr<Gateway>> create(EventLoop &loop, GatewaySettings settings,
                                                   const FormatTable &formats, int logDescriptor);
    ~Gateway();

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /*!
        Shuts down gracefully: becomes unready, accepts requests until the load balancer must have
        noticed, then waits for open requests, at most for the shutdown grace, and stops the loop.
    */
    void shutDown();
    /*!
        Applies the bounds and the shutdown grace of \a settings at once, and the retry ratio and
        slack to pools that have had no request so far. All other settings keep their values until
        the process restarts.
    */
    void reload(const GatewaySettings &settings);

    //! Whether the load balancer may send requests here.
    bool isReady() const;
    const SocketAddress &callersAddress() const { return callers_->address(); }
    const SocketAddress &readyAddress() const { return ready_->address(); }

private:
    Gateway(EventLoop &loop, GatewaySettings settings, const FormatTable &formats,
            int logDescriptor);

    Result<void> listen();
    void onConfiguration(const std::string &text);
    void updateServer(const ServerEntry &entry);
    void removeServer(const BackendServerName &name);
    //! Drops what is known of servers that were removed long ago.
    void expireServers(Instant now);
    //! Called after the entry of \a server was updated or removed. If the server has crashed, the
    //! requests that were abandoned on it without a response are suspected to be the cause.
    void onServerChanged(const KnownServer &server);
    //! Records by which copy of the store a request is sent, and logs it if the server's entry is
    //! missing in the copy.
    void noteRequestSent(KnownServer &server);
    //! Adds to \a line by which copy \a server got its last request.
    void describeLastPlacement(LogLine &line, const KnownServer &server) const;
    //! The server has announced in a response, to this router or another, that it is leaving.
    void onServerLeaving(KnownServer &server, std::string_view source);
    Result<void> startExchange();
    void onLoadChanged();
    void updateRegistration();
    StorePlan::Limits planLimits() const;
    bool mayUseStoreCopy();
    //! Handles that the store is in a later era than the copy.
    void onEraEnded();
    void onItemLost(const std::string &key, const std::string &value);
    std::optional<StoreChanges> storeChanges(const StorePosition &after) const;
    //! A request of this router was running when a server crashed.
    void noteCrashedRun(const CrashedRun &run);
    //! Records a suspicion that router \a source reported. Returns whether it was new.
    bool takeCrashSuspicion(const CrashSuspicion &suspicion, const RouterName &source);
    //! Applies a report about a prompt part from router \a source. Returns whether it was new.
    bool takePartReport(const PartReport &report, const RouterName &source);
    void applyPartEffect(const PartReport &report, const PartCrashLedger::Effect &effect,
                         const RouterName &source);
    //! Reports to the other routers, and records in the store, that this router refuses \a part.
    void announceRefusedPart(Fingerprint part);
    void logPartReport(const PartReport &report, const RouterName &source);
    void notePartsAnswered(const std::vector<Fingerprint> &parts);
    bool isTrialDue(const std::vector<Fingerprint> &parts) const;
    void noteTrial(const std::vector<Fingerprint> &parts);
    Duration configurationAge() const;
    RetryWindow &retryWindow(const PoolName &pool);
    void answerReady(HttpExchange &exchange) const;
    void setAdmissionGauges();
    void answerMetrics(HttpExchange &exchange);
    void tick();
    void continueShutdown();
    void applyLimits();
    std::size_t maxCallers() const;
    void logClientLosses();
    void setClientGauges();

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
    std::unique_ptr<StartPace> startPace_; //!< Null unless the setting pace.enabled is true.
    WaitingList waiting_;
    AdmissionPlan admission_ { directory_ };
    SilenceLimits silence_;
    CrashLedger crashes_;
    PartCrashLedger parts_;
    UnansweredRuns unanswered_;
    AnswerMemory answerMemory_;
    RequestMetrics metrics_;
    std::shared_ptr<const RoutingTable> table_;
    std::unordered_map<PoolName, RetryWindow> retryWindows_;
    ClientMemory clientMemory_;
    std::uint64_t loggedLosses_ = 0;
    std::unique_ptr<HttpServer> ready_;
    std::unique_ptr<HttpServer> callers_;
    std::unique_ptr<HttpServer> metricsServer_;
    std::unique_ptr<RouterExchange> exchange_;
    std::unique_ptr<CrashRecords<CrashLedger>> crashRecords_;
    std::unique_ptr<CrashRecords<PartCrashLedger>> partRecords_;
    std::unique_ptr<StoredItems> storedItems_;
    std::unique_ptr<StoreFeed> feed_;
    std::unique_ptr<Registration> registration_;
    std::unique_ptr<GatewayDuties> duties_;    //!< Null if no duty is enabled.
    std::unique_ptr<ServerOrderCalls> orders_; //!< Null if no servers are ordered.
    Timer tickTimer_;
    Timer waitingTimer_;
    Instant startedAt_ = monotonicNow();
    Instant nextHousekeeping_;
    std::optional<Instant> stopRequestedAt_;
    GatewayServices services_; //!< Last: requests use the other members in their destructor.
};

} // namespace crocusport

#endif // CROCUSPORT_GATEWAY_H
