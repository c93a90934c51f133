#ifndef CROCUSPORT_SOAKCHECK_H
#define CROCUSPORT_SOAKCHECK_H

#include "crocusport/state/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocusport {

/*!
    Records what callers and backend servers observe of each request, and checks that
    - a request that must not be repeated runs at most once, and never if it was refused as not run,
    - an answer with status 200 has a seal, and a complete one has the body that belongs to its
      request,
    - a truncated stream is the beginning of the stream that belongs to its request,
    - no request runs that was sent with a key withdrawn longer ago than the revocation bound,
    - after the recovery time, a request or prompt part that has crashed three servers crashes at
      most three more.

    Thread safety: none.
*/
class SoakCheck
{
public:
    enum class Kind { Safe, Unsafe, Stream, Fragile };

    void sent(const std::string &id, Kind kind, const std::string &key, Instant now);
    void ran(const std::string &id, Instant now);
    //! Records an answer. \a body is the part that was received if the answer is not whole.
    void answered(const std::string &id, int status, bool isWhole, bool isSealed,
                  const std::string &body);
    /*!
        Records that a server crashed because of \a cause, a path or a prompt part, which crashes
       every server. \a isRecoveryTimeOver: all faults have ended, and the routers have had time to
        receive the crash reports and store changes that they missed.
    */
    void crashed(const std::string &cause, bool isRecoveryTimeOver);
    //! Records \a fault, a failed check of the request \a id.
    void fail(const std::string &id, const std::string &fault);
    void keyWithdrawn(const std::string &key, Instant now) { withdrawn_[key] = now; }

    //! Descriptions of the checks that have failed so far.
    const std::vector<std::string> &faults() const { return faults_; }
    std::uint64_t requests() const { return entries_.size(); }
    std::uint64_t served() const { return served_; }

    //! The body of the answer to \a id that servers give outside of streams.
    static std::string plainBody(const std::string &id) { return "answer to " + id; }
    //! The event \a number of the stream that servers send to \a id.
    static std::string event(const std::string &id, int number);
    static constexpr int kEvents = 12; //!< Number of events of a stream.

private:
    struct Entry
    {
        Kind kind = Kind::Safe;
        std::string key;
        Instant sentAt;
        int runs = 0;
        bool isRefused = false;
    };

    void checkStream(const std::string &id, bool isWhole, const std::string &body);

    std::map<std::string, Entry> entries_;
    struct Crashes
    {
        int all = 0;
        int afterRecovery =
            0; //!< Crashes after the first three that happened after the recovery time.
    };

    std::map<std::string, Instant> withdrawn_;
    std::map<std::string, Crashes> crashes_; //!< Keyed by the path of the request.
    std::vector<std::string> faults_;
    std::uint64_t served_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_SOAKCHECK_H
