#ifndef CROCUSPORT_STATUSDOCUMENT_H
#define CROCUSPORT_STATUSDOCUMENT_H

#include "crocusport/coordination/memberinfo.h"
#include "crocusport/state/error.h"
#include "crocusport/state/poolscheduler.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

//! How one class does against its targets, at the reporting router since its start.
struct ClassReport
{
    ClassName name;
    std::uint64_t ended = 0;
    std::uint64_t completed = 0;
    std::uint64_t targetMet = 0; //!< Of those completed.

    bool operator==(const ClassReport &) const = default;
};

//! The configuration in force at the reporting router.
struct ConfigurationReport
{
    ConfigurationVersion version;
    std::string publishId;
    bool isStoreWatcher = false;
    bool isStoreReachable = false;
    std::optional<double> ageSeconds; //!< Since its adoption.

    bool operator==(const ConfigurationReport &) const = default;
};

//! What a router answers to `GET /status` on its port for operators.
struct RouterStatus
{
    RouterName router;
    AvailabilityZone zone;
    Region region;
    bool isReady = false;
    double uptimeSeconds = 0;
    std::uint64_t openRequests = 0;
    ConfigurationReport configuration;
    std::vector<MemberInfo> members; //!< Without incarnations.
    std::map<PoolName, RouterName> poolHolders;
    std::vector<PoolStatus> pools; //!< Those that the router holds.
    std::vector<ClassReport> classes;
};

//! Returns \a status as JSON. Safe from any thread.
std::string writeRouterStatus(const RouterStatus &status);
//! Reads what writeRouterStatus() returns. Fails with MalformedMessage. Safe from any thread.
Result<RouterStatus> parseRouterStatus(std::string_view text);

//! What a router answers to `GET /explain?request=...`.
struct Explanation
{
    RequestId request;
    std::vector<std::string> events; //!< key=value lines, oldest first.

    bool operator==(const Explanation &) const = default;
};

//! Returns \a explanation as JSON. Safe from any thread.
std::string writeExplanation(const Explanation &explanation);
//! Reads what writeExplanation() returns. Fails with MalformedMessage. Safe from any thread.
Result<Explanation> parseExplanation(std::string_view text);

} // namespace crocusport

#endif // CROCUSPORT_STATUSDOCUMENT_H
