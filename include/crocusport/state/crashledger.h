#ifndef CROCUSPORT_CRASHLEDGER_H
#define CROCUSPORT_CRASHLEDGER_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusport {

/*!
    Returns the id of the crash that ended the run of \a server with start number \a start. All
    routers compute the same id, so that reports of one crash by several routers count once.
    \a number is above 1 for a further crash that a router sees before it knows the server's next
    start number. Safe from any thread.
*/
std::string crashId(const BackendServerName &server, StartNumber start, int number = 1);

/*!
    What a router had received of a request's answer when the backend server crashed. Later
    enumerators are stronger evidence that the request caused the crash.
*/
enum class CrashEvidence : std::uint8_t {
    DuringAnswer, //!< The router had received part of the answer.
    BeforeAnswer, //!< The router had received nothing of the answer.
};

//! A request that was running on a backend server when the server crashed.
struct CrashSuspicion
{
    Fingerprint fingerprint;
    std::string crash; //!< See crashId().
    CrashEvidence evidence = CrashEvidence::BeforeAnswer;
};

/*!
    Counts for each fingerprint the backend-server crashes during which a request with that
    fingerprint ran (docs/design.md section 4.5). A counted crash stays recorded until the
    fingerprint's entry expires, also after it was cleared, so that reports may arrive late,
    repeatedly and in any order.

    Thread safety: none; use from one thread.
*/
class CrashLedger
{
public:
    /*!
        Merges the report that a request with \a fingerprint ran during \a crash. Returns whether
        the report was counted: it is new, or its evidence is stronger than what was reported
        before. A report is not counted if \a fingerprint is 0, which means none, if \a crash is
        attributed to another fingerprint or was cleared for this one, or if a request with
        \a fingerprint completed less than 30 s ago.
    */
    bool add(Fingerprint fingerprint, const std::string &crash, Instant now,
             CrashEvidence evidence = CrashEvidence::BeforeAnswer);
    //! Counts \a crash for the crash suspect \a fingerprint. Later reports of \a crash for other
    //! fingerprints do not count.
    void attribute(Fingerprint fingerprint, const std::string &crash, Instant now);
    //! Clears \a crash for all fingerprints, since its cause is known to be another one. Later
    //! reports of \a crash do not count.
    void dismiss(const std::string &crash, Instant now);
    //! Merges the crashes of a record for \a fingerprint.
    void addRecord(Fingerprint fingerprint, const std::vector<std::string> &crashes, Instant now);
    //! Clears all crashes counted for \a fingerprint, for example because a request with it
    //! completed. Later reports of these crashes do not count.
    void clear(Fingerprint fingerprint);
    /*!
        Records that a request with \a fingerprint completed at \a now. Clears the crashes counted
        for it, and crashes of the next 30 s do not count: a request that many callers send is
        running on nearly every server that crashes, without being the cause. Stores the completion
        times of at most 16384 fingerprints; for further ones it only clears the crashes.
    */
    void noteCompleted(Fingerprint fingerprint, Instant now);
    //! Removes what has expired: entries one hour after their last counted crash, attributions
    //! after one hour, completions after 30 s. Linear.
    void expire(Instant now);

    //! Returns the number of crashes that count for \a fingerprint.
    std::size_t crashCount(Fingerprint fingerprint) const;
    //! Returns the ids of the crashes that count for \a fingerprint, joined by \a separator.
    std::string crashList(Fingerprint fingerprint, char separator) const;
    //! Returns the number of fingerprints that are refused at \a now. Linear.
    std::size_t refusedCount(Instant now) const;
    //! Returns whether at least one crash counts for \a fingerprint; requests with it must then
    //! not run on the same server as another crash suspect.
    bool isCrashSuspect(Fingerprint fingerprint) const;
    //! Returns the end of the refusal of \a fingerprint, or nothing if it is not refused at \a now.
    std::optional<Instant> refusedUntil(Fingerprint fingerprint, Instant now) const;

private:
    struct Entry
    {
        std::map<std::string, CrashEvidence> crashes;
        std::set<std::string> cleared;
        Instant lastCrash {};
        std::optional<Instant> refusedUntil;

        bool hasCrashes() const { return !crashes.empty(); }
        bool reachesRefusalLimit() const;
    };
    struct Attribution
    {
        Fingerprint fingerprint;
        Instant at {};
    };

    std::unordered_map<Fingerprint, Entry> entries_;
    std::unordered_map<std::string, Attribution> attributions_;
    std::unordered_map<Fingerprint, Instant> completed_;
};

} // namespace crocusport

#endif // CROCUSPORT_CRASHLEDGER_H
