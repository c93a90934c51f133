#ifndef CROCUSPORT_LEASTOUTSTANDINGSCHEDULER_H
#define CROCUSPORT_LEASTOUTSTANDINGSCHEDULER_H

#include "crocusport/state/fifoscheduler.h"
#include "crocusport/state/slotscheduler.h"

namespace crocusport {

/*!
    Baseline for measurements: the oldest request goes to the backend server that has a free slot
    and the fewest outstanding requests.

    Thread safety: none; use from one thread.
*/
class LeastOutstandingScheduler final : public FifoScheduler
{
public:
    //! Ignores \a seed, because the choice is not random.
    LeastOutstandingScheduler(const PoolPolicy &policy, std::uint64_t seed);

private:
    const ServerCandidate &choose(const std::vector<ServerCandidate> &candidates) override;
};

static_assert(SlotScheduler<LeastOutstandingScheduler>);

} // namespace crocusport

#endif // CROCUSPORT_LEASTOUTSTANDINGSCHEDULER_H
