#include "crocusport/state/fiforoundrobinscheduler.h"

#include <algorithm>

namespace crocusport {

FifoRoundRobinScheduler::FifoRoundRobinScheduler(const PoolPolicy &policy, std::uint64_t /*seed*/)
    : FifoScheduler(policy)
{ }

const ServerCandidate &
FifoRoundRobinScheduler::choose(const std::vector<ServerCandidate> &candidates)
{
    const auto found =
        std::find_if(candidates.begin(), candidates.end(),
                     [this](const auto &candidate) { return candidate.index >= nextIndex_; });
    const auto &chosen = found == candidates.end() ? candidates.front() : *found;
    nextIndex_ = chosen.index + 1;
    return chosen;
}

} // namespace crocusport
