#ifndef CROCUSPORT_ROUTEREXCHANGE_H
#define CROCUSPORT_ROUTEREXCHANGE_H

#include "dutyreport.h"
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
    Exchanges data between this router and the others. Datagrams carry the loads of backend servers,
    their cached prompt prefixes, connection faults, crashes and the list of neighbours. Responses
    to HTTP queries carry the content of the store. They also prove the maximum age of that content.

    Thread safety: loop thread only. Loop, settings and parts must outlive the exchange.
*/
class RouterExchange
{
public:
    //! The data and functions of the router that RouterExchange uses to make its reports and to
    //! apply received reports.
    struct Parts
    {
        const GatewaySettings &settings;
        ServerDirectory &servers;
        PrefixMemory &prefixes;
        LogWriter &log;
        std::mt19937_64 &random;
        std::function<std::optional<StoreHint>()> storeHint;
        //! Returns the store's changes after a position; nothing while the router has no copy.
        std::function<std::optional<StoreChanges>(const StorePosition &after)> storeChanges;
        //! Called after a report; its sender may have a fresher copy of the store.
        std::function<void()> reportReceived;
        //! Called when router \a from reports that the server is leaving.
        std::function<void(KnownServer &server, const RouterName &from)> serverLeaves;
        //! Called when router \a from reports that a request was running when a server crashed.
        //! Returns whether the suspicion was new.
        std::function<bool(const CrashSuspicion &, const RouterName &from)> crashSuspected;
        //! Called when router \a from reports about a prompt part. Returns whether the report was
        //! new.
        std::function<bool(const PartReport &, const RouterName &from)> partReported;
        //! Returns this router's clock for its reports; may be empty or return nothing.
        std::function<std::optional<Duration>()> clock {};
        //! Called when router \a from reports its clock; may be empty.
        std::function<void(const RouterName &from, Duration clock)> clockReported {};
        //! Called with a datagram of counts for the holder of the duties; may be empty.
        std::function<void(const DutyReport &)> dutyReported {};
    };

    //! Opens the ports for datagrams and queries. Fails with ListenFailed.
    static Result<std::unique_ptr<RouterExchange>> create(EventLoop &loop, Parts parts);

    RouterExchange(const RouterExchange &) = delete;
    RouterExchange &operator=(const RouterExchange &) = delete;

    const RouterEntry &self() const { return self_; }
    RouterDirectory &routers() { return routers_; }
    const RouterDirectory &routers() const { return routers_; }
    const PeerLoads &loads() const { return loads_; }

    //! Schedules a report after a change, as soon as the report interval allows.
    void scheduleReport();
    //! Sends a report to all neighbours now.
    void report();
    //! Sends all neighbours a last report, which announces this router's shutdown.
    void reportShutdown();
    //! Sends \a report to the router at \a address. Returns the number of datagrams.
    std::size_t sendDutyReport(const SocketAddress &address, const DutyReport &report);
    //! Adds to the next reports that a prompt with this prefix was sent to the server.
    void notePromptPrefix(ServerHash server, PromptPrefixHash prefix);
    //! Adds a pace sample of the server to the next report; see ServerPace.
    void notePace(ServerHash server, double ms);
    //! Adds a suspicion of this router to its reports for kSuspicionRepeatTime, and to reports to
    //! other zones for kZoneSuspicionRepeatTime.
    void noteCrashSuspicion(const CrashSuspicion &suspicion);
    //! Adds a report of this router about a prompt part, to the same reports as suspicions.
    void notePartReport(const PartReport &report);
    //! Recomputes the servers' loads after a change of the set of servers.
    void refreshLoads();
    //! Sends the reports that are due, and expires old data. Call it several times a second.
    void tick(Instant now);

private:
    template<typename T>
    using Repeated = std::deque<std::pair<Instant, T>>;
    using Suspicions = Repeated<CrashSuspicion>;
    using PartReports = Repeated<PartReport>;

    RouterExchange(EventLoop &loop, Parts parts);

    Result<void> listen(EventLoop &loop);
    void answerQuery(HttpExchange &exchange) const;
    void onDatagram(std::string_view bytes);
    void takeReport(const LoadReport &report);
    void replyToNeighbourQuery(const RouterEntry &router);
    void takeNeighbours(const std::vector<RouterEntry> &neighbours);
    void applyHints(const LoadReport &report, Instant now);
    void noteZonePromptPrefix(ServerHash server, PromptPrefixHash prefix);
    void relay(LoadReport report);
    void sendTo(const std::vector<RouterEntry> &routers, const LoadReport &report);
    void queryNeighbours(Instant now);
    LoadReport makeReport();
    template<typename T>
    static void add(Repeated<T> &items, const T &item, std::size_t maxCount);
    //! Removes the items that are older than \a maxAge, and the oldest ones above \a maxCount.
    //! Returns the others.
    template<typename T>
    static std::vector<T> current(Repeated<T> &items, Duration maxAge, std::size_t maxCount,
                                  Instant now);
    static int importance(const PartReport &report);
    static std::vector<PartReport> mostImportant(std::vector<PartReport> reports,
                                                 std::size_t count);
    Duration reportInterval() const;
    void sendReport(bool isLeaving);
    void sendZoneSum(Instant now);

    Parts parts_;
    RouterEntry self_;
    RouterDirectory routers_;
    PeerLoads loads_;
    std::unique_ptr<HttpServer> queryServer_;
    std::unique_ptr<DatagramSocket> datagrams_;
    Timer reportTimer_;
    Instant reportedAt_;
    Instant zoneReportedAt_;
    Instant zonePromptPrefixesSentAt_;
    Instant nextHousekeeping_;
    Instant nextQueryAt_;
    Duration queryInterval_;
    std::uint64_t sequence_ = 0;
    std::uint64_t zoneTurn_ = 0;
    std::vector<std::pair<ServerHash, PromptPrefixHash>> newPromptPrefixes_;
    std::vector<std::pair<ServerHash, std::uint32_t>> newPaces_;
    //! From all routers of the zone.
    std::set<std::pair<ServerHash, PromptPrefixHash>> zonePromptPrefixes_;
    Suspicions suspicions_;       //!< From this router.
    Suspicions zoneSuspicions_;   //!< From all routers of the zone, for reports to other zones.
    PartReports partReports_;     //!< From this router.
    PartReports zonePartReports_; //!< From all routers of the zone, for reports to other zones.
};

} // namespace crocusport

#endif // CROCUSPORT_ROUTEREXCHANGE_H
