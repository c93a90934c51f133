#ifndef CROCUSPORT_SERVERORDERS_H
#define CROCUSPORT_SERVERORDERS_H

#include "serverkind.h"

#include "crocusport/gateway/wiremessages.h"
#include "crocusport/state/instant.h"

#include <optional>

namespace crocusport {

//! What became of an order.
enum class OrderOutcome : std::uint8_t {
    Accepted,
    NoneAvailable, //!< The zone has no servers of the kind at the moment.
    RateLimited,   //!< The platform has had too many calls.
    Unanswered,    //!< The order may be carried out, even seconds later.
    Fenced,        //!< Another router holds the duty.
};

inline constexpr std::size_t kOrderOutcomeCount = 5;

//! Returns the name of \a outcome for logs and metrics. Safe from any thread.
std::string_view orderOutcomeName(OrderOutcome outcome);

/*!
    Decides which order of one pool to send next, from what is wanted and what the server entries
    show, so that the entries end up as wanted whatever became of single orders.

    Load pattern: the platform loses responses, carries out orders seconds later and after newer
    ones, has no servers in some zones, and limits the rate of calls.

    Memory: about 100 bytes for each zone and kind. Thread safety: none; use from one thread.
*/
class ServerOrders
{
public:
    explicit ServerOrders(PoolName pool) : pool_(std::move(pool)) { }

    //! Sets what is wanted and what is there.
    void update(const ServerCounts &wanted, const PresentServers &present,
                const PoolScaling &scaling, Instant now);
    //! Marks the spot servers of \a zone as refused, since the platform takes them away. Ignored
    //! within kDrainTime after an order for fewer, which the leaving servers may be due to.
    void noteReclaimed(const AvailabilityZone &zone, Instant now);

    //! Returns the order to send now, if any; increases come first. At most one order is under way
    //! for each zone.
    std::optional<ServerOrder> next(Instant now) const;
    //! Records that \a order, the result of next(), was sent.
    void noteSent(const ServerOrder &order, Instant now);
    //! Records the outcome of an order that was sent.
    void noteOutcome(const ServerOrder &order, OrderOutcome outcome, Instant now);

    //! Whether the platform had no servers of \a kind in \a zone within the last seconds.
    bool isRefused(const AvailabilityZone &zone, ServerKind kind, Instant now) const;

    //! Returns the servers of the last accepted order while they may be starting, else 0.
    std::uint32_t due(const AvailabilityZone &zone, ServerKind kind, Instant now) const;

    //! After this time without an outcome, an order counts as unanswered.
    static constexpr Duration kOutcomeTime = std::chrono::seconds(5);
    //! Servers that were ordered away are gone after at most this time.
    static constexpr Duration kDrainTime = std::chrono::seconds(4);
    static constexpr Duration kMinRefusal = std::chrono::seconds(2);
    static constexpr Duration kMaxRefusal = std::chrono::seconds(8);

private:
    struct KindState
    {
        std::uint32_t wanted = 0;
        std::uint32_t live = 0;
        std::optional<std::uint32_t> sent;     //!< Count of the last order.
        std::optional<std::uint32_t> accepted; //!< Count of the last accepted order.
        std::optional<OrderOutcome> outcome;   //!< Of the last order.
        Instant sentAt {};
        Instant outcomeAt {};
        Instant dueUntil {};              //!< When the servers of the last accepted order are live.
        std::optional<Instant> reducedAt; //!< Time of the last accepted order for fewer.
        //! An order was unanswered; reset when the entries have matched for a time.
        bool isDoubtful = false;
        std::optional<Instant> matchedSince;
        Instant refusedUntil {};
        Duration refusal {}; //!< Length of the last refusal; 0 after an accepted order.
    };
    struct ZoneState
    {
        PerKind<KindState> kinds;
        std::optional<ServerKind> underWay;
    };

    bool isDue(const ZoneState &zone, ServerKind kind, Instant now) const;
    bool isRepeatDue(const KindState &state, Instant now) const;
    bool hasRoom(const ZoneState &zone, ServerKind kind) const;
    static void refuse(KindState &state, Instant now);
    static void expire(ZoneState &zone, Instant now);

    PoolName pool_;
    std::map<AvailabilityZone, ZoneState> zones_;
    Duration bootTime_ {};
    std::uint32_t max_ = 0; //!< Most servers of a zone, of both kinds together.
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERORDERS_H
