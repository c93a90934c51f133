#ifndef CROCUSPORT_USAGECOUNTER_H
#define CROCUSPORT_USAGECOUNTER_H

#include "crocusport/state/identifiers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace crocusport {

//! Number of a usage window, counted from the start of 1970.
using UsageWindow = std::uint64_t;
using TeamCounts = std::map<TeamName, std::uint64_t>;

//! The requests of each team that one router has counted in a window so far.
struct WindowCounts
{
    UsageWindow window = 0;
    TeamCounts counts;

    bool operator==(const WindowCounts &) const = default;
};

/*!
    Counts the requests of each team that began to run, by window of true time, and decides which
    counts to send to the holder of the duties. Counts are cumulative, and a changed window is sent
    kRepeats times, so that a lost datagram changes no report.

    Memory: the windows of the last minute, each with at most all teams. Thread safety: none; use
    from one thread.
*/
class UsageCounter
{
public:
    //! How often unchanged counts of a window are sent to one holder.
    static constexpr int kRepeats = 3;

    void note(const TeamName &team, UsageWindow window);
    //! Drops the windows before \a oldest.
    void dropBefore(UsageWindow oldest);
    //! Starts to send all windows again, to a new holder.
    void restartSending();
    //! Returns the counts to send now, without windows for which \a isReported returns true.
    std::vector<WindowCounts> nextToSend(const std::function<bool(UsageWindow)> &isReported);

private:
    struct Window
    {
        TeamCounts counts;
        int sendsLeft = 0;
    };

    std::map<UsageWindow, Window> windows_;
};

} // namespace crocusport

#endif // CROCUSPORT_USAGECOUNTER_H
