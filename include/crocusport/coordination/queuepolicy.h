#ifndef CROCUSPORT_QUEUEPOLICY_H
#define CROCUSPORT_QUEUEPOLICY_H

#include <optional>
#include <string_view>

namespace crocusport {

//! Where requests are queued and how they are scheduled.
enum class QueuePolicy {
    Holder,           //!< In one queue for each pool, at the router that is the pool's holder.
    Local,            //!< At the router that received the request; there are no holders.
    LeastOutstanding, //!< As Local, with LeastOutstandingScheduler: a baseline for measurements.
    FifoRoundRobin    //!< As Local, with FifoRoundRobinScheduler: a baseline for measurements.
};

//! Returns the name used in settings, such as "least_outstanding". Safe from any thread.
std::string_view queuePolicyName(QueuePolicy policy);
//! Returns the policy with \a name, if there is one. Safe from any thread.
std::optional<QueuePolicy> queuePolicyFromName(std::string_view name);

} // namespace crocusport

#endif // CROCUSPORT_QUEUEPOLICY_H
