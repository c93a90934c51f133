#include "crocusport/coordination/queuepolicy.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace crocusport {

namespace {

constexpr std::array<std::string_view, 4> kQueuePolicyNames = { "holder", "local",
                                                                "least_outstanding",
                                                                "fifo_round_robin" };

} // namespace

std::string_view queuePolicyName(QueuePolicy policy)
{
    return kQueuePolicyNames.at(static_cast<std::size_t>(policy));
}

std::optional<QueuePolicy> queuePolicyFromName(std::string_view name)
{
    const auto *const found = std::find(kQueuePolicyNames.begin(), kQueuePolicyNames.end(), name);
    if (found == kQueuePolicyNames.end())
        return std::nullopt;
    return static_cast<QueuePolicy>(found - kQueuePolicyNames.begin());
}

} // namespace crocusport
