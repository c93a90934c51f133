#ifndef CROCUSPORT_POOLPRESSURE_H
#define CROCUSPORT_POOLPRESSURE_H

#include "serverdirectory.h"

#include <concepts>
#include <cstdint>
#include <vector>

namespace crocusport {

/*!
    How much work all routers together have given to the servers of a pool.

    All routers compute it from the same load reports, so they agree on it except for the delay of
    the reports.
*/
struct PoolPressure
{
    std::uint32_t servers = 0; //!< Servers that take requests.
    double slots = 0;          //!< Of these servers.
    double own = 0;            //!< Requests of this router at these servers.
    double requests = 0;       //!< Running and queued at these servers.
    double endsPerSecond = 0;  //!< Expected rate at which requests end.

    //! Requests for each slot; 0 if there are no servers.
    double share() const { return slots > 0 ? requests / slots : 0; }
};

//! Returns the pressure on \a servers, the servers of one pool. Safe from any thread that may read
//! the servers.
PoolPressure measurePressure(const std::vector<ServerDirectory::ServerPointer> &servers,
                             Instant now);

//! The position of a request among the kinds of requests that its pool serves.
struct UrgencyPosition
{
    int moreUrgent = 0; //!< Number of more urgent ranks in use.
    int lessUrgent = 0; //!< Number of less urgent ranks in use.
};

/*!
    An estimate of the time from the choice of a server until the first event, for a prompt of which
    a number of tokens must be prefilled. Functions are pure.
*/
template<typename T>
concept FirstEventEstimate = requires(const T &estimate, const KnownServer &server,
                                      std::uint32_t unreadTokens, UrgencyPosition position)
{
    {
        estimate.firstEvent(server, unreadTokens, position)
        } -> std::same_as<Duration>;
};

/*!
    The estimate from a server's load alone: its prefill at a usual speed, and its queue, from which
    requests start in the order of urgency.

    Thread safety: immutable; safe from any thread that may read the server.
*/
class LoadEstimate
{
public:
    Duration firstEvent(const KnownServer &server, std::uint32_t unreadTokens,
                        UrgencyPosition position) const;
};

} // namespace crocusport

#endif // CROCUSPORT_POOLPRESSURE_H
