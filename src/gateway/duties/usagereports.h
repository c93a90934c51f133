#ifndef CROCUSPORT_USAGEREPORTS_H
#define CROCUSPORT_USAGEREPORTS_H

#include "usageledger.h"

#include "crocusport/state/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocusport {

//! How a call to the platform has ended.
enum class DutyOutcome {
    Accepted,
    Refused,    //!< The platform has seen a higher token, or cannot carry out the order now.
    Limited,    //!< Too many calls.
    NoResponse, //!< The call may be carried out later.
    Failed,     //!< Another response.
};

//! Returns the name used in logs and metrics, such as "accepted". Safe from any thread.
std::string dutyOutcomeName(DutyOutcome outcome);
//! Returns the outcome of a call that ended with \a status; 0: no response. Safe from any thread.
DutyOutcome dutyOutcome(int status);

/*!
    Decides which usage report the holder of the duties writes to the store or sends to the platform
    next. The text of a report is written to the store first, on the condition that there is none,
    and only texts that the store has are sent. So the platform never gets two different reports of
    one window, whichever routers send them.

    Load: two calls to the store and one to the platform for each window; after a change of holder,
    the texts of the last minute are sent again, because it is not known whether they arrived.

    Times of windows are true time, all others are from the boot clock. Thread safety: none; use
    from one thread.
*/
class UsageReports
{
public:
    struct Options
    {
        Duration window; //!< Length of a window; at least 1 s.
        Duration due;    //!< Time from the end of a window until its report is due.
    };

    //! Time from the end of a window until its counts are complete: routers send them every 500 ms.
    static constexpr Duration kSettleTime = std::chrono::milliseconds(1500);
    //! Time from becoming the holder until the routers have sent their counts: copies of the store
    //! show the new holder after some polls. An incomplete report is worse than one 2 s later.
    static constexpr Duration kCollectTime = std::chrono::seconds(2);
    //! Windows that ended longer ago are not reported, and their texts are removed. Counts older
    //! than this are dropped.
    static constexpr Duration kMaxAge = std::chrono::seconds(60);

    enum class Action {
        Write,  //!< Write the counts to the store as the text of the report.
        Send,   //!< Send the text to the platform.
        Remove, //!< Remove the text from the store.
    };
    struct Step
    {
        Action action = Action::Write;
        UsageWindow window = 0;
        std::string text;  //!< For Action::Send, and for Action::Write if it was written before.
        TeamCounts counts; //!< For Action::Write without a text.
    };
    //! What the reports depend on, besides the results of earlier steps.
    struct View
    {
        Duration trueTime {};
        Instant now;
        Instant heldSince; //!< When this router became the holder.
        //! Windows that began earlier are reported only if any counts are known; later ones without
        //! counts are reported 3 s before they are due.
        Duration knownSince {};
        const UsageLedger &ledger;
        //! Returns the text of a report that the copy of the store has.
        std::function<std::optional<std::string>(UsageWindow)> storedText;
        //! Returns the text of a report that the store had before it was restored from an older
        //! copy; it may have been sent. Empty: there are no such texts.
        std::function<std::optional<std::string>(UsageWindow)> lostText = {};
    };

    explicit UsageReports(const Options &options) : options_(options) { }

    UsageWindow windowAt(Duration trueTime) const
    {
        return static_cast<UsageWindow>(trueTime / options_.window);
    }
    //! Returns the oldest window that may still be reported.
    UsageWindow oldestWindow(Duration trueTime) const { return windowAt(trueTime - kMaxAge); }

    //! Returns the next step, if one is due. No other step is due until its result is noted.
    std::optional<Step> next(const View &view);
    //! Records that the store has \a text as the report of \a window.
    void noteWritten(UsageWindow window, const std::string &text);
    //! Records that it is unknown whether the text of \a window was written.
    void noteStoreFailure(UsageWindow window, Instant now);
    //! Records that the call that removes a text has been made.
    void noteRemoved() { isBusy_ = false; }
    //! Records how the call with the report of \a window has ended.
    void noteSent(UsageWindow window, DutyOutcome outcome, Duration trueTime, Instant now);
    //! Returns the texts that this router has read or written since it became the holder.
    std::map<UsageWindow, std::string> texts() const;
    //! Forgets all steps, since this router is no longer the holder.
    void reset();

    std::uint64_t sentCount() const { return sent_; }       //!< Accepted reports.
    std::uint64_t lateCount() const { return late_; }       //!< Of these, reports after their time.
    std::uint64_t missingCount() const { return missing_; } //!< Windows that were not reported.

private:
    struct State
    {
        std::optional<std::string> text; //!< As the store has it.
        bool isSent = false;
        int failures = 0; //!< Calls without response.
        Instant retryAt;
    };

    Duration endOf(UsageWindow window) const
    {
        return options_.window * (static_cast<Duration::rep>(window) + 1);
    }
    bool isSurelyEmpty(UsageWindow window, const View &view) const;
    std::optional<Step> nextReport(const View &view);
    std::optional<Step> nextRemoval(const View &view);
    void dropOld(const View &view);

    Options options_;
    std::map<UsageWindow, State> states_;
    bool isBusy_ = false;
    Instant sendAt_;
    Instant removeAt_;
    std::uint64_t sent_ = 0;
    std::uint64_t late_ = 0;
    std::uint64_t missing_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_USAGEREPORTS_H
