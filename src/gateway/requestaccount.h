#ifndef CROCUSPORT_REQUESTACCOUNT_H
#define CROCUSPORT_REQUESTACCOUNT_H

#include "logline.h"
#include "requestmetrics.h"

#include "crocusport/gateway/routingtable.h"
#include "crocusport/state/instant.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace crocusport {

//! Why a completed request missed its latency target.
enum class Lateness {
    None,
    FirstEvent, //!< The first event of a stream came too late.
    Pause,      //!< A pause between two events was too long.
    Answer,     //!< An answer that is no stream came too late.
};

//! Returns the name used in logs, such as "pause". Safe from any thread.
std::string_view latenessName(Lateness lateness);

/*!
    The times of one request and of its attempts, for its log line, its metrics and what is learnt
    of servers.

    Thread safety: none; use from one thread.
*/
class RequestAccount
{
public:
    explicit RequestAccount(Instant arrival) : arrival_(arrival) { }

    //! An attempt begins; \a cachedTokens of the prompt are expected at its server, and
    //! \a mostCachedTokens at the server that holds most.
    void noteAttempt(std::uint32_t cachedTokens, std::uint32_t mostCachedTokens, Instant now);
    //! \a count events of the attempt have arrived. Returns whether they are its first.
    bool noteEvents(std::uint64_t count, Instant now);

    //! Time since the attempt began. Needs an attempt.
    Duration attemptTime(Instant now) const { return now - attemptAt_; }
    //! Mean time between the events of the attempt; none when there are too few to tell.
    std::optional<double> eventPaceMs(Instant now) const;
    //! Longest time between two events so far.
    Duration longestPause() const { return longestPause_; }
    std::uint64_t events() const { return events_; }
    std::uint64_t attemptEvents() const { return attemptEvents_; }
    Lateness lateness(const Route &route, bool isCompleted, Instant now) const;

    //! Fills in the times of \a measurement.
    void measure(RequestMeasurement &measurement, Instant now) const;
    //! Adds the times to the log line of the request's end.
    void describe(LogLine &line, Instant now) const;

private:
    Instant arrival_;
    std::optional<Instant> firstAttemptAt_;
    Instant attemptAt_ {};
    std::optional<Instant> firstEventAt_;
    Instant attemptStreamedAt_ {}; //!< Of the attempt's first event.
    Instant lastEventAt_ {};       //!< Of the request.
    Duration longestPause_ {};
    std::uint64_t events_ = 0;
    std::uint64_t attemptEvents_ = 0;
    std::uint32_t cachedTokens_ = 0;
    std::uint32_t mostCachedTokens_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTACCOUNT_H
