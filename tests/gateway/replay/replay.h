#ifndef CROCUSPORT_REPLAY_H
#define CROCUSPORT_REPLAY_H

#include "engineemulator.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocusport::replay {

//! One kind of request of a load pattern.
struct RequestKindLoad
{
    std::string name;
    double perSecond = 0; //!< Rate over all routers.
    double burst = 1;     //!< Factor of the rate between burstFrom and burstUntil.
    std::uint32_t promptTokens = 0;
    double promptSpread = 0; //!< Standard deviation of the logarithm of the prompt length.
    std::uint32_t maxPromptTokens = 0;
    std::uint32_t sharedTokens = 0; //!< Prompt tokens shared by requests of one subject, at most.
    std::uint32_t subjects = 1;
    std::uint32_t outputTokens = 0;
    int urgency = 0;
    Milliseconds target {};
    Milliseconds maxPause {};
};

//! A load pattern: arrivals of requests, and crashes of engines. Times count from its start.
struct LoadPattern
{
    std::vector<RequestKindLoad> kinds;
    std::size_t routers = 6;
    std::size_t engines = 12;
    Milliseconds length { 12'000 };
    Milliseconds burstFrom {};
    Milliseconds burstUntil {};
    Milliseconds reportInterval { 200 }; //!< Of load reports between routers.
    std::size_t crashingEngines = 0;
    Milliseconds crashAt {};
    Milliseconds crashFor {};   //!< From the crash to the restart under other names.
    Milliseconds lapseAfter {}; //!< From the crash until the entries of the old names expire.
};

//! How requests are assigned to engines.
enum class Placement {
    RoundRobin,       //!< To each engine in turn; engines admit first in, first out.
    LeastOutstanding, //!< To the engine with the fewest running requests of this router.
    Selector,         //!< By ServerSelector, as in gateways.
};

//! Results of the requests of one kind.
struct KindOutcome
{
    std::size_t requests = 0;
    std::size_t inTarget = 0;
    std::size_t served = 0; //!< Completed, in time or late.

    double targetShare() const
    {
        return requests == 0 ? 1 : static_cast<double>(inTarget) / static_cast<double>(requests);
    }
};

struct ReplayOutcome
{
    std::vector<KindOutcome> kinds;
    std::size_t rejectedArrivals = 0; //!< Rejected because the engine was full, down or replaced.
    std::uint64_t preemptions = 0;
};

//! Replays \a pattern. \a seed determines the arrivals, which are the same for all placements.
ReplayOutcome play(const LoadPattern &pattern, Placement placement, std::uint64_t seed);

} // namespace crocusport::replay

#endif // CROCUSPORT_REPLAY_H
