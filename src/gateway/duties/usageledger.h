#ifndef CROCUSPORT_USAGELEDGER_H
#define CROCUSPORT_USAGELEDGER_H

#include "usagecounter.h"

#include <map>
#include <utility>

namespace crocusport {

/*!
    The counts that the holder of the duties has received from all routers. A router's counts of a
    window only increase, so the highest count that a process has sent for a team is the newest;
    lost, duplicate and late datagrams are harmless.

    Memory: at most kMaxWindows windows; in calm, two or three are not reported yet. With 330
   routers and 20 teams, a window takes about 0.6 MB. Thread safety: none; use from one thread.
*/
class UsageLedger
{
public:
    static constexpr std::size_t kMaxWindows = 16;

    //! Takes in the counts that the process \a incarnation of \a router has sent.
    void merge(const RouterName &router, Incarnation incarnation, const WindowCounts &counts);
    //! Returns the sums over all routers.
    TeamCounts sums(UsageWindow window) const;
    bool has(UsageWindow window) const { return windows_.contains(window); }
    //! Drops \a window, which has been reported.
    void drop(UsageWindow window) { windows_.erase(window); }
    //! Drops the windows before \a oldest.
    void dropBefore(UsageWindow oldest);
    void clear() { windows_.clear(); }

private:
    using Process = std::pair<RouterName, Incarnation>;

    std::map<UsageWindow, std::map<Process, TeamCounts>> windows_;
};

} // namespace crocusport

#endif // CROCUSPORT_USAGELEDGER_H
