#ifndef CROCUSPORT_DEMANDFORECAST_H
#define CROCUSPORT_DEMANDFORECAST_H

#include "pooldemand.h"

#include "crocusport/gateway/routingtable.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <optional>
#include <unordered_map>

namespace crocusport {

//! Demand per second; running requests are a number.
struct DemandRates
{
    double requests = 0;
    double prefillTokens = 0;
    double outputTokens = 0;
    double running = 0;

    DemandRates &operator+=(const DemandRates &other);
    //! Moves the rates towards \a sample by the share \a weight, from 0 to 1.
    void approach(const DemandRates &sample, double weight);
    DemandRates scaled(double factor) const;
};

//! What one server can do.
struct ServerCapacity
{
    double prefillTokensPerS = 0; //!< 0: the pool's servers are not model engines.
    double outputTokensPerS = 0;  //!< With all slots busy.
    double slots = 1;

    //! Returns the capacity of a server of \a pool with \a slots slots. Safe from any thread.
    static ServerCapacity of(const PoolEntry &pool, double slots);
};

//! Returns the servers that \a rates need at the target utilisation. Safe from any thread.
double serversFor(const DemandRates &rates, const ServerCapacity &capacity);

//! Numbers of servers that a pool needs.
struct ServerNeed
{
    double current = 0;  //!< For the rates of the last moments.
    double retained = 0; //!< For the last peak, which decays.
    double burst = 0;    //!< For a burst that begins at the mean rate.
};

/*!
    The need for servers of one pool, from the demand that all routers report.

    Load pattern: bursts of 1.4 to 2.7 times of one class arrive without warning, last 3 to 9 s and
    recur, while new servers take some seconds to start.

    The need follows from work: a burst of long prompts has few requests and much prefill. Slow
    servers show as more running requests for the same work, which raises the need.

    Memory: about 100 bytes for each router that reports. Thread safety: none; use from one thread.
*/
class DemandForecast
{
public:
    /*!
        Records the counters of \a router. The first report of a router is only a start for the
        next ones; if a counter has fallen, the router has restarted. Precondition: the reports of
        a router arrive in the order in which it made them.
    */
    void note(const RouterName &router, const PoolDemand &demand, Instant now);
    //! Forgets silent routers and computes the need. Precondition: \a now never falls.
    void update(const ServerCapacity &capacity, Instant now);

    //! Returns the need as of the last update; nothing until there has been demand for
    //! kLearningTime, and while no router reports.
    const std::optional<ServerNeed> &need() const { return need_; }
    //! Sum of all routers' rates as of the last update.
    const DemandRates &rates() const { return rates_; }

    static constexpr Duration kLearningTime = std::chrono::seconds(5);
    //! Reports are made every 500 ms; a router that misses this many has stopped.
    static constexpr Duration kSilence = std::chrono::seconds(3);

private:
    struct RouterDemand
    {
        PoolDemand last;
        Instant lastAt {};
        DemandRates rates;
        bool hasRates = false;
    };

    void updateMean(Instant now);

    std::unordered_map<RouterName, RouterDemand> routers_;
    DemandRates rates_;
    DemandRates mean_;
    double retained_ = 0;
    std::optional<Instant> firstDemandAt_;
    Instant updatedAt_ {};
    std::optional<ServerNeed> need_;
};

} // namespace crocusport

#endif // CROCUSPORT_DEMANDFORECAST_H
