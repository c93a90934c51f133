#ifndef CROCUSPORT_ROUTEREXCHANGE_H
#define CROCUSPORT_ROUTEREXCHANGE_H

#include "loadexchange.h"
#include "storemirror.h"

#include "crocusport/gateway/gatewaysettings.h"
#include "crocusport/transport/datagramsocket.h"
#include "crocusport/transport/httpserver.h"
#include "crocusport/transport/logwriter.h"
#include "crocusport/transport/timer.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace crocusport {

/*!
    What this router and the others tell each other: loads of backend servers, prompt parts that
    they have read, trouble with servers, who their neighbours are (datagrams), and what the store
    holds (a question and its answer, which prove how old it is).

    Thread safety: loop thread only. Loop, settings and parts must outlive the exchange.
*/
class RouterExchange
{
public:
    //! What reports of others change, and what this router's reports tell.
    struct Parts
    {
        const GatewaySettings &settings;
        ServerDirectory &servers;
        PrefixMemory &prefixes;
        LogWriter &log;
        std::mt19937_64 &random;
        std::function<std::optional<StoreHint>()> storeHint;
        //! What the store holds after a revision; none before the router knows.
        std::function<std::optional<StoreChanges>(StoreRevision after)> storeChanges;
        //! Other routers have been heard, and may know more of the store.
        std::function<void()> routersHeard;
        //! A router has heard from the server that it leaves.
        std::function<void(KnownServer &server, const RouterName &from)> serverLeaves;
        //! A request of another router was under way when a server crashed; returns whether that
        //! was new.
        std::function<bool(const CrashSuspicion &, const RouterName &from)> crashSuspected;
    };

    //! Opens the ports for datagrams and questions. Fails with ListenFailed.
    static Result<std::unique_ptr<RouterExchange>> create(EventLoop &loop, Parts parts);

    RouterExchange(const RouterExchange &) = delete;
    RouterExchange &operator=(const RouterExchange &) = delete;

    const RouterEntry &self() const { return self_; }
    RouterDirectory &routers() { return routers_; }
    const PeerLoads &loads() const { return loads_; }

    //! A load has changed; others are told soon.
    void scheduleReport();
    //! Tells all neighbours now.
    void report();
    //! Tells them that this router stops.
    void sayGoodbye();
    //! A prompt was sent to the server and will be held there.
    void noteChain(ServerHash server, ChainHash chain);
    void notePace(ServerHash server, double ms);
    void noteCrashSuspicion(const CrashSuspicion &suspicion);
    //! The set of servers has changed, so that loads must be summed up anew.
    void refreshLoads();
    //! To be called several times a second.
    void tick(Instant now);

private:
    using Suspicions = std::deque<std::pair<Instant, CrashSuspicion>>;

    RouterExchange(EventLoop &loop, Parts parts);

    Result<void> listen(EventLoop &loop);
    void answerQuestion(HttpExchange &exchange) const;
    void onDatagram(std::string_view bytes);
    void takeReport(const LoadReport &report);
    void greet(const RouterEntry &router);
    void takeNeighbours(const std::vector<RouterEntry> &neighbours);
    void applyHints(const LoadReport &report, Instant now);
    void noteZoneChain(ServerHash server, ChainHash chain);
    void relay(LoadReport report);
    void sendTo(const std::vector<RouterEntry> &routers, const LoadReport &report);
    void askForNeighbours(Instant now);
    LoadReport makeReport();
    //! Forgets what is older than \a memory, and returns the rest.
    static std::vector<CrashSuspicion> current(Suspicions &suspicions, Duration memory,
                                               Instant now);
    Duration reportInterval() const;
    void sendReport(bool isLeaving);
    void sendZoneSum(Instant now);

    Parts parts_;
    RouterEntry self_;
    RouterDirectory routers_;
    PeerLoads loads_;
    std::unique_ptr<HttpServer> questions_;
    std::unique_ptr<DatagramSocket> datagrams_;
    Timer reportTimer_;
    Instant reportedAt_;
    Instant zoneReportedAt_;
    Instant zoneChainsSentAt_;
    Instant nextHousekeeping_;
    Instant nextAsking_;
    Duration askingPause_;
    std::uint64_t sequence_ = 0;
    std::uint64_t zoneTurn_ = 0;
    std::vector<std::pair<ServerHash, ChainHash>> newChains_;
    std::vector<std::pair<ServerHash, std::uint32_t>> newPaces_;
    std::set<std::pair<ServerHash, ChainHash>> zoneChains_; //!< Of all routers of the zone.
    Suspicions suspicions_;                                 //!< Of this router.
    Suspicions zoneSuspicions_; //!< Of all routers of the zone; one of them tells other zones.
};

} // namespace crocusport

#endif // CROCUSPORT_ROUTEREXCHANGE_H
