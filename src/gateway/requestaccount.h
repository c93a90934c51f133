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
    Answer,     //!< A response that is not a stream came too late.
};

//! Returns the name used in logs, such as "pause". Safe from any thread.
std::string_view latenessName(Lateness lateness);

/*!
    The times of one request and of its attempts. They are used for the request's log line, for
    metrics and for estimates of the speed of servers.

    Thread safety: none; use from one thread.
*/
class RequestAccount
{
public:
    explicit RequestAccount(Instant arrival) : arrival_(arrival) { }

    //! Records the start of an attempt. \a cachedTokens of the prompt are expected to be cached at
    //! its server, and \a mostCachedTokens at the eligible server with the largest cached prefix.
    void noteAttempt(std::uint32_t cachedTokens, std::uint32_t mostCachedTokens, Instant now);
    //! Records the arrival of \a count events. Returns whether they are the attempt's first.
    bool noteEvents(std::uint64_t count, Instant now);

    //! Time since the start of the attempt. Precondition: noteAttempt() was called.
    Duration attemptTime(Instant now) const { return now - attemptAt_; }
    //! Mean time between the events of the attempt; nothing if there are too few events.
    std::optional<double> eventPaceMs(Instant now) const;
    //! Longest time so far between the arrivals of two successive events.
    Duration longestPause() const { return longestPause_; }
    std::uint64_t events() const { return events_; }
    std::uint64_t attemptEvents() const { return attemptEvents_; }
    Lateness lateness(const Route &route, bool isCompleted, Instant now) const;

    //! Fills in the times of \a measurement.
    void measure(RequestMeasurement &measurement, Instant now) const;
    //! Adds the times to \a line, the log line for the end of the request.
    void describe(LogLine &line, Instant now) const;

private:
    Instant arrival_;
    std::optional<Instant> firstAttemptAt_;
    Instant attemptAt_ {};
    std::optional<Instant> firstEventAt_;
    Instant attemptFirstEventAt_ {}; //!< Time of the attempt's first event.
    Instant lastEventAt_ {};         //!< Time of the last event of any attempt.
    Duration longestPause_ {};
    std::uint64_t events_ = 0;
    std::uint64_t attemptEvents_ = 0;
    std::uint32_t cachedTokens_ = 0;
    std::uint32_t mostCachedTokens_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTACCOUNT_H
