#ifndef CROCUSPORT_FIFOROUNDROBINSCHEDULER_H
#define CROCUSPORT_FIFOROUNDROBINSCHEDULER_H

#include "crocusport/state/fifoscheduler.h"
#include "crocusport/state/slotscheduler.h"

namespace crocusport {

/*!
    Baseline for measurements: the oldest request goes to the next backend server, in round-robin
    order, that has a free slot.

    Thread safety: none; use from one thread.
*/
class FifoRoundRobinScheduler final : public FifoScheduler
{
public:
    //! Ignores \a seed, because the choice is not random.
    FifoRoundRobinScheduler(const PoolPolicy &policy, std::uint64_t seed);

private:
    const ServerCandidate &choose(const std::vector<ServerCandidate> &candidates) override;

    std::uint32_t nextIndex_ = 0;
};

static_assert(SlotScheduler<FifoRoundRobinScheduler>);

} // namespace crocusport

#endif // CROCUSPORT_FIFOROUNDROBINSCHEDULER_H
