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

namespace crocusport {

/*!
    Returns the id of the crash that ended \a start of \a server. It is the same for every
    observer, so that reports of one crash by several routers count once. \a number is above 1 for a
    crash that came before the server's next start was known. Safe from any thread.
*/
std::string crashId(const BackendServerName &server, StartNumber start, int number = 1);

//! How far a request had run when its backend server crashed; the last one accuses it most.
enum class CrashEvidence : std::uint8_t {
    DuringAnswer, //!< Part of its answer had come.
    BeforeAnswer, //!< Nothing had come.
};

//! A request that was under way when a backend server crashed.
struct CrashSuspicion
{
    Fingerprint fingerprint;
    std::string crash; //!< See crashId().
    CrashEvidence evidence = CrashEvidence::BeforeAnswer;
};

/*!
    Counts for each fingerprint the backend-server crashes during which it ran
    (docs/design.md section 4.5). Crash sets only grow, so that reports merge in any order and any
    number of times; cleared crashes are remembered for that reason.

    Thread safety: none; use from one thread.
*/
class CrashLedger
{
public:
    /*!
        Merges the report that \a fingerprint ran during \a crash; returns whether it was new.
        Fingerprint 0 means none.
    */
    bool add(Fingerprint fingerprint, const std::string &crash, Instant now,
             CrashEvidence evidence = CrashEvidence::BeforeAnswer);
    //! Counts \a crash for the marked \a fingerprint and, from now on, for no other.
    void attribute(Fingerprint fingerprint, const std::string &crash, Instant now);
    //! Forgives \a fingerprint its crashes so far, because a request with it completed.
    void clear(Fingerprint fingerprint);
    /*!
        A request with \a fingerprint has run to its end at \a now: its crashes so far are
        forgiven, and those of the next half minute do not count, since a request that many callers
        send is under way wherever a server crashes.
    */
    void noteCompleted(Fingerprint fingerprint, Instant now);
    //! Forgets crashes that happened long ago. Linear.
    void expire(Instant now);

    //! Returns the number of crashes that count for \a fingerprint.
    std::size_t crashCount(Fingerprint fingerprint) const;
    //! Returns the ids of these crashes, divided by \a separator.
    std::string crashList(Fingerprint fingerprint, char separator) const;
    //! Returns the number of fingerprints that are refused at \a now. Linear.
    std::size_t refusedCount(Instant now) const;
    //! Returns whether requests with \a fingerprint must run in isolation.
    bool isMarked(Fingerprint fingerprint) const;
    //! Returns until when \a fingerprint is refused, if it is at \a now.
    std::optional<Instant> refusedUntil(Fingerprint fingerprint, Instant now) const;

private:
    struct Entry
    {
        std::map<std::string, CrashEvidence> crashes;
        std::set<std::string> cleared;
        Instant lastCrash {};
        std::optional<Instant> refusedUntil;

        bool marked() const { return !crashes.empty(); }
        bool isProven() const;
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
