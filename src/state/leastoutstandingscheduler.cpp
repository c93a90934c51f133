#include "crocusport/state/leastoutstandingscheduler.h"

#include <algorithm>

namespace crocusport {

LeastOutstandingScheduler::LeastOutstandingScheduler(const PoolPolicy &policy,
                                                     std::uint64_t /*seed*/)
    : FifoScheduler(policy)
{ }

const ServerCandidate &
LeastOutstandingScheduler::choose(const std::vector<ServerCandidate> &candidates)
{
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [](const auto &left, const auto &right) { return left.running < right.running; });
}

} // namespace crocusport
