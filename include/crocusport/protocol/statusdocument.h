#ifndef CROCUSPORT_STATUSDOCUMENT_H
#define CROCUSPORT_STATUSDOCUMENT_H

#include "crocusport/coordination/memberinfo.h"
#include "crocusport/state/error.h"
#include "crocusport/state/poolscheduler.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

//! One pool. Load and exclusions are those that the reporting router knows of.
struct PoolReport
{
    RouterName holder;
    PoolStatus status;
};

//! How one class does against its targets, at the reporting router.
struct ClassReport
{
    ClassName name;
    Tier tier { kLowestTier };
    std::uint64_t requests = 0; //!< Since the router's start.
    std::optional<Milliseconds> firstTokenTarget;
    std::optional<Milliseconds> firstTokenP95;
    std::optional<Milliseconds> answerTarget;
    std::optional<Milliseconds> answerP95;
    std::optional<double> attainment; //!< Share of requests within all targets.

    bool operator==(const ClassReport &) const = default;
};

//! What a router answers to `GET /status` on its port for operators.
struct RouterStatus
{
    RouterName router;
    Incarnation incarnation;
    std::string state; //!< "starting", "ready" or "stopping".
    ConfigurationVersion configurationVersion;
    std::vector<MemberInfo> members;
    std::vector<PoolReport> pools;
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
