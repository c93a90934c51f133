#ifndef CROCUSPORT_QUEUEPOLICY_H
#define CROCUSPORT_QUEUEPOLICY_H

#include <optional>
#include <string_view>

namespace crocusport {

//! Where requests queue. The last two are baselines for measurements.
enum class QueuePolicy { Holder, Local, LeastOutstanding, FifoRoundRobin };

//! Returns the name used in settings, such as "least_outstanding". Safe from any thread.
std::string_view queuePolicyName(QueuePolicy policy);
//! Returns the policy with \a name, if there is one. Safe from any thread.
std::optional<QueuePolicy> queuePolicyFromName(std::string_view name);

} // namespace crocusport

#endif // CROCUSPORT_QUEUEPOLICY_H
