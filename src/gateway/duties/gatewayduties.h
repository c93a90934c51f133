#ifndef CROCUSPORT_GATEWAYDUTIES_H
#define CROCUSPORT_GATEWAYDUTIES_H

#include "dutyholder.h"
#include "dutystore.h"
#include "pooldemand.h"
#include "requestmetrics.h"
#include "routerexchange.h"
#include "truetime.h"
#include "usagecounter.h"
#include "usageledger.h"
#include "usagereports.h"

#include "crocusport/state/ratelimiter.h"
#include "crocusport/transport/logwriter.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocusport {

/*!
    The duties of this router: counts the requests of each team and sends the counts to the router
    that holds the duties; while this router is the holder, reports them to the platform and sends
    orders of servers. See docs/design/duties.md.

    Every call to the platform carries a fencing token and is made only while OrderHolder's token is
    valid by the boot clock, which includes suspended time.

    Thread safety: loop thread only. The parts must outlive the object; destroying it cancels its
    calls.
*/
class GatewayDuties
{
public:
    struct Parts
    {
        const GatewaySettings &settings;
        const FormatTable &formats;
        HttpClient &client; //!< For the store and the platform.
        RouterExchange &exchange;
        const ServerDirectory &servers;
        const StoreMirror &mirror;
        LogWriter &log;
        //! Records that an answer of the store was of \a era.
        std::function<void(StoreEra era)> noteEra;
    };
    //! Called with the demand that \a router has reported, of its own process or of another one.
    using DemandHandler = std::function<void(const RouterName &router, const PoolName &pool,
                                             const PoolDemand &demand)>;
    using OrderHandler = std::function<void(DutyOutcome outcome)>;

    explicit GatewayDuties(const Parts &parts);

    GatewayDuties(const GatewayDuties &) = delete;
    GatewayDuties &operator=(const GatewayDuties &) = delete;

    //! Claims or renews the duties, sends counts and makes the calls that are due. Must be called
    //! every 100 ms.
    void tick();
    //! Releases the duties for a planned stop. Counts are still sent.
    void giveUp();
    /*!
        Ends the duties of this router, and its knowledge of the lease, since the store was restored
        from an older copy. Texts of reports that this router knows are written again, unless the
        store has them.
    */
    void endEra();
    //! Records an item that a later era of the store lacks, with its last value.
    void noteLost(const std::string &key, const std::string &value);
    //! Sends counts and demand to the holder now.
    void sendCounts();

    //! Records that a request of \a team has begun to run at a server. \a isRepeat: it had begun at
    //! another server before. Teams without a name are not counted.
    void noteBegan(const TeamName &team, bool isRepeat);
    //! Records that a request was sent, which adds \a load to a server of \a pool.
    void noteSent(const PoolName &pool, const ServerLoad &load);
    //! Records \a count events of a stream from a server of \a pool.
    void noteOutput(const PoolName &pool, std::uint64_t count);

    //! Returns this host's clock for reports to other routers; see TrueTime::own().
    Duration clock() const;
    void noteClock(const RouterName &router, Duration clock);
    //! Takes in what another router has sent to the holder of the duties.
    void takeReport(const DutyReport &report);

    //! Sets the handler of the demand that routers report while this router is the holder.
    void setDemandHandler(DemandHandler onDemand) { onDemand_ = std::move(onDemand); }
    //! Whether this router is the holder by the copy of the store.
    bool isNamedHolder() const { return holderOwner_ == owner_; }
    //! Whether this router may make a duty call now.
    bool mayAct() const { return holder_.token(bootNow()).has_value(); }
    /*!
        Sends \a order to the platform. Returns false, without a call, if this router may not act or
        the limit of calls is reached; try again at the next tick. After DutyOutcome::NoResponse the
        order may be carried out later; DutyOutcome::Refused means that no servers are available.
    */
    bool sendOrder(const ServerOrder &order, OrderHandler onEnd);
    //! The store's operations for a plan that the next holder reads.
    DutyStore &store() { return store_; }

    //! Sets the gauges of the duties.
    void describe(RequestMetrics &metrics) const;
    std::uint64_t storeCalls() const { return store_.calls(); }

    static bool isUsageKey(const std::string &key);

private:
    enum class Duty { Usage, Order };
    static constexpr std::size_t kDuties = 2;
    static constexpr std::size_t kOutcomes = 5;

    static Instant bootNow();
    Duration trueNow() const;
    DutyAuthority authority(FencingToken token) const;
    void noteHolder(const std::optional<std::string> &keyValue, Instant now);
    void reportNext(Instant now);
    void writeText(UsageWindow window, const std::string &text);
    void sendText(UsageWindow window, const std::string &text);
    void onReportEnd(UsageWindow window, FencingToken token, DutyOutcome outcome);
    //! Makes a duty call, if this router may act now. Returns its token.
    std::optional<FencingToken>
    startCall(Duty duty, const std::function<HttpCallRequest(const DutyAuthority &)> &makeCall,
              std::function<void(FencingToken, DutyOutcome)> onEnd);
    DutyReport makeReport();
    std::map<PoolName, PoolDemand> currentDemand() const;

    Parts parts_;
    Incarnation incarnation_;
    std::string owner_;
    TrueTime trueTime_;
    Duration knownSince_;
    UsageCounter counter_;
    UsageLedger ledger_;
    UsageReports reports_;
    std::map<PoolName, PoolDemand> demand_; //!< Without running requests.
    std::map<RouterName, std::pair<Incarnation, std::uint64_t>> sequences_; //!< Newest demand.
    DemandHandler onDemand_;
    RateLimiter orderLimiter_;
    std::array<std::array<std::uint64_t, kOutcomes>, kDuties> outcomes_ {};
    //! Texts of reports that the store had before it was restored from an older copy.
    std::map<UsageWindow, std::string> lostTexts_;
    std::string holderOwner_; //!< From the copy of the store; empty: none.
    bool isHolder_ = false;
    bool isStopping_ = false;
    bool wasRefused_ = false;
    bool hasEraEnded_ = false;
    std::uint64_t sequence_ = 0;
    Instant sendAt_;
    Instant reportAt_;
    DutyStore store_;
    PendingCalls calls_;
    DutyHolder<DutyStore> holder_;
};

} // namespace crocusport

#endif // CROCUSPORT_GATEWAYDUTIES_H
