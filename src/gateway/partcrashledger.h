#ifndef CROCUSPORT_PARTCRASHLEDGER_H
#define CROCUSPORT_PARTCRASHLEDGER_H

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

//! What a router reports about a prompt part. The values are part of the message format.
enum class PartVerdict : std::uint8_t {
    Suspected = 0, //!< A request with the part was running, without an answer, during a crash.
    Refused = 1,   //!< The part causes the crashes; requests with it are refused.
    Cleared = 2,   //!< A server has answered the part, so that it did not cause the crashes.
    Tried = 3,     //!< A request with the refused part was sent as a trial.
};

std::string_view partVerdictName(PartVerdict verdict);

struct PartReport
{
    PartVerdict verdict = PartVerdict::Suspected;
    Fingerprint part;
    std::vector<std::string> crashes; //!< See crashId(); empty for PartVerdict::Tried.
    int trials = 0;                   //!< Number of trials so far, for PartVerdict::Tried.
};

//! Returns the fingerprint of the prompt part with this id. Safe from any thread.
Fingerprint partFingerprint(std::uint64_t partId);

/*!
    Finds the prompt parts that crash every backend server that begins to answer them.

    A part is suspected of a crash if a request with it was running there without an answer. Any
    later answer to a request with the part clears it of the crashes known by then. A part is
   refused if several crashes remain, unless another part explains the same crashes and further
   ones. The crashes of a refused part no longer count for other parts.

    All routers exchange their reports, which may arrive late, repeatedly and in any order: for each
    pair of part and crash, Cleared overrides Suspected and Refused.

    A refused part is tried again with a single request, after intervals that grow with each trial.

    Memory: at most kMaxParts entries with kMaxCrashes crashes and kMaxCleared cleared crashes each.
    Thread safety: none; use from one thread.
*/
class PartCrashLedger
{
public:
    static constexpr std::size_t kMaxParts = 4096;
    static constexpr std::size_t kMaxCrashes = 8;
    static constexpr std::size_t kMaxCleared = 32;

    //! The effect of a report.
    struct Effect
    {
        bool isNew = false;                  //!< The report has changed what is known of the part.
        bool isNewlyRefused = false;         //!< The part is refused from now on.
        std::vector<std::string> attributed; //!< Crashes that a refused part is known to cause.
    };

    PartCrashLedger();

    //! Adds \a crash to the crashes of \a part.
    Effect suspect(Fingerprint part, const std::string &crash, Instant now);
    /*!
        Adopts the decision of another router or of a record in the store that \a part causes
        \a crashes. If the part was cleared of some of them, the others only add to its crashes.
        Ignored if a server has just answered the part.
    */
    Effect refuse(Fingerprint part, const std::vector<std::string> &crashes, Instant now);
    //! Like refuse(), for a record in the store.
    void addRecord(Fingerprint part, const std::vector<std::string> &crashes, Instant now)
    {
        refuse(part, crashes, now);
    }
    //! Records that a server answers a request with \a part. Returns the crashes of which this
    //! clears the part.
    std::vector<std::string> noteAnswered(Fingerprint part, Instant now);
    //! Records that \a part was cleared of \a crashes. Returns whether that was new.
    bool clear(Fingerprint part, const std::vector<std::string> &crashes, Instant now);
    //! Clears \a part of all its crashes.
    void clear(Fingerprint part);
    //! Returns those of \a crashes of which \a part was cleared.
    std::vector<std::string> clearedOf(Fingerprint part,
                                       const std::vector<std::string> &crashes) const;

    //! Returns the earliest time of the next trial of \a part, which may have passed; nothing if
    //! the part is not refused.
    std::optional<Instant> refusedUntil(Fingerprint part, Instant now) const;
    //! Returns the earliest time of a trial of a request with \a parts; nothing if such requests
    //! are not refused.
    std::optional<Instant> refusedUntil(const std::vector<Fingerprint> &parts, Instant now) const;
    //! Whether a request with \a parts may serve as a trial: no other suspect could make it fail.
    bool isTrialMeaningful(const std::vector<Fingerprint> &parts) const;
    //! Records that a request with \a parts is sent as a trial. Returns the reports of this.
    std::vector<PartReport> startTrial(const std::vector<Fingerprint> &parts, Instant now);
    //! Records that another router has started trial number \a trials. Returns whether it was new.
    bool noteTrial(Fingerprint part, int trials, Instant now);

    //! Removes what has expired. Linear.
    void expire(Instant now);
    //! Returns the reports of up to \a count refused parts; further calls return the next ones.
    std::vector<PartReport> nextRefusals(std::size_t count);
    //! Returns the ids of the crashes of \a part, joined by \a separator.
    std::string crashList(Fingerprint part, char separator) const;
    std::vector<std::string> crashes(Fingerprint part) const;
    std::size_t crashCount(Fingerprint part) const;
    std::size_t refusedCount() const;
    //! Returns the number of parts with at least one crash.
    std::size_t suspectCount() const;

private:
    struct Entry
    {
        std::map<std::string, Instant>
            crashes;                     //!< With the times at which this router learnt them.
        std::deque<std::string> cleared; //!< Oldest first.
        Instant changedAt {};
        Instant nextTrialAt {};
        int trials = 0;
        bool isRefused = false;
        bool wasAnswered = false;

        bool isCleared(const std::string &crash) const;
        void noteCleared(const std::string &crash);
        bool reachesLimit() const;
        bool hasAllCrashesOf(const Entry &other) const;
    };
    //! A slot of the bounded memory of answered parts; a later part may replace an earlier one.
    struct Answered
    {
        Fingerprint part;
        Instant at {};
    };

    Entry *entry(Fingerprint part);
    const Entry *find(Fingerprint part) const;
    bool causesCrashes(Fingerprint part, const Entry &entry, Instant now) const;
    //! Whether \a parts contain all parts that have at least the crashes of \a part.
    bool hasCoSuspects(const std::vector<Fingerprint> &parts, Fingerprint part,
                       const Entry &entry) const;
    std::optional<Instant> answeredAt(Fingerprint part) const;
    void rememberAnswered(Fingerprint part, Instant now);
    void setRefused(Fingerprint part, Entry &entry, Instant now, Effect &effect);
    Duration holdTime(Fingerprint part, const Entry &entry, Instant now) const;

    std::map<Fingerprint, Entry> entries_;
    std::vector<Answered> answered_;
    std::optional<Instant> lastAnswerAt_; //!< Of any part.
    Fingerprint lastReported_;
};

} // namespace crocusport

#endif // CROCUSPORT_PARTCRASHLEDGER_H
