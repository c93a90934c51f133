#ifndef CROCUSPORT_ADMISSIONPLAN_H
#define CROCUSPORT_ADMISSIONPLAN_H

#include "poolpressure.h"
#include "teamshares.h"

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace crocusport {

//! What the admission of a request depends on, apart from the state of its pool.
struct AdmissionFacts
{
    PoolName pool;
    int urgency = 0; //!< 0 is the most urgent.
    Instant arrival {};
    Instant deadline {}; //!< The caller gives up at this time.
    Duration target {};  //!< Latency objective; for streams, until the first event.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; //!< Expected.
    TeamName team;
    Fingerprint fingerprint; //!< The same when the caller sends the request again.
    double draw = 0;         //!< Evenly distributed over requests, from 0 to below 1.
    double teamFactor = 1;   //!< See TeamShares::factor(); 1 if the team sends no more than others.
    bool isReturned = false; //!< This router refused the same request shortly before.
};

//! Returns the draw of the request with this id; the same at all routers. Safe from any thread.
double admissionDraw(std::string_view requestId);

//! Why a request is not sent to a server now.
enum class HoldReason : std::uint8_t {
    None,
    Pressure, //!< The slots of the pool are needed for more urgent requests.
    Start,    //!< The loads of the other routers are not known yet.
    TooLate,  //!< No server would begin its response before the deadline.
};

//! Returns the name used in logs and metrics, such as "pressure". Safe from any thread.
std::string_view holdReasonName(HoldReason reason);

/*!
    Decides when requests for model engines are sent, held in the router or refused.

    Load pattern: bursts of long prompts of a less urgent kind, of 2 to 3 times the usual rate for
    several seconds, fill all slots and the queues of all engines. Then urgent requests find no free
    slot, and the long prompts wait in the engines until their callers give up.

    Each request has a limit for the pressure on its pool, up to which it is sent. The limits of a
    less urgent kind are below those of a more urgent one, and are spread evenly over a band by a
    hash of the request's id. So with growing pressure all routers send a smaller share of the least
    urgent kind first, without messages about single requests, although their view of the pressure
    is delayed. A small share of each kind is exempt.

    Thread safety: none; use from one thread.
*/
class AdmissionPlan
{
public:
    static constexpr std::size_t kHoldReasonCount = 4;

    //! Numbers since the start.
    struct Counts
    {
        std::array<std::uint64_t, kHoldReasonCount> refused {}; //!< By HoldReason.
        std::uint64_t sentUnderPressure = 0; //!< Sent although others of the kind were held.
        std::uint64_t returned = 0;          //!< Requests that came back after a refusal.
    };

    explicit AdmissionPlan(const ServerDirectory &directory) : directory_(directory) { }

    /*!
        Sets the number of routers, and whether any of them has reported its load. Before, and for
        a limited time after the first call, each router sends at most its share of the slots.
    */
    void setFleet(std::size_t routerCount, bool hasReports, Instant now);
    //! Records the arrival of a request with this work. Its kind counts as in use at its pool for
    //! some time. Returns the factor of its team.
    double noteArrival(const AdmissionFacts &facts, Instant now, Duration work = {});
    //! Whether this router refused a request with this fingerprint within the last seconds.
    bool isReturned(Fingerprint fingerprint, Instant now) const;

    //! Returns why the request must not be sent to any server at present, or None.
    HoldReason hold(const AdmissionFacts &facts, Instant now);
    //! Whether \a server would begin its response before the deadline, by \a estimate. Always true
    //! while the pool has fewer requests than slots.
    template<FirstEventEstimate Estimate>
    bool isInTime(const Estimate &estimate, const KnownServer &server, const AdmissionFacts &facts,
                  std::uint32_t unreadTokens, Instant now)
    {
        return !isFull(facts.pool, now)
            || now + estimate.firstEvent(server, unreadTokens, position(facts, now))
            <= facts.deadline;
    }
    //! Whether the pool has at least as many requests as slots.
    bool isFull(const PoolName &pool, Instant now)
    {
        const auto &state = pressure(pool, now);
        return state.slots > 0 && state.share() >= 1;
    }
    //! Records that the request was sent to a server.
    void noteSent(const AdmissionFacts &facts, Instant now);

    //! Returns how long a request that is held will have to wait at least.
    Duration expectedWait(const AdmissionFacts &facts, Instant now);
    /*!
        Returns the Retry-After of a request that is refused now, and records the refusal. It is the
        expected wait, but later than that of the request refused before, by the time in which
        \a routerCount routers can each send one request. At most a third of the time left.
    */
    Duration refuse(const AdmissionFacts &facts, HoldReason reason, std::size_t routerCount,
                    Instant now);
    const Counts &counts() const { return counts_; }

    //! Drops refusals and kinds that are no longer relevant. Linear in their number.
    void expire(Instant now);

private:
    //! A kind of requests that a pool serves, by urgency.
    struct Kind
    {
        Instant seenAt {};
        Duration target {}; //!< Of its last request.
        TeamShares teams;
    };
    struct Pool
    {
        std::map<int, Kind> kinds; //!< By urgency.
        PoolPressure pressure;
        std::optional<Instant> measuredAt;
        Instant nextReturn {}; //!< Time at which the next refused request should come back.
    };

    const PoolPressure &pressure(const PoolName &pool, Instant now);
    UrgencyPosition position(const AdmissionFacts &facts, Instant now) const;
    //! Returns the pressure up to which the request is sent.
    double limit(const AdmissionFacts &facts, Instant now) const;
    bool exceedsStartShare(const AdmissionFacts &facts, Instant now);

    const ServerDirectory &directory_;
    std::unordered_map<PoolName, Pool> pools_;
    std::unordered_map<Fingerprint, Instant> refusals_; //!< Times of the refusals.
    Counts counts_;
    std::size_t routerCount_ = 1;
    bool areLoadsUnknown_ = false;
    std::optional<Instant> startedAt_; //!< Time of the first call of setFleet().
};

} // namespace crocusport

#endif // CROCUSPORT_ADMISSIONPLAN_H
