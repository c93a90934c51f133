#ifndef CROCUSPORT_SOAKCHECK_H
#define CROCUSPORT_SOAKCHECK_H

#include "crocusport/state/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocusport {

/*!
    What callers and backend servers have seen of each request, and whether it keeps the promises:
    at most one run where a request must not be repeated, no run of one that was refused, answers
    that are whole and belong to their request, no run with a key that was withdrawn long ago.

    Thread safety: none.
*/
class SoakCheck
{
public:
    enum class Kind { Safe, Unsafe, Stream, Fragile };

    void sent(const std::string &id, Kind kind, const std::string &key, Instant now);
    void ran(const std::string &id, Instant now);
    //! \a body is the whole of a complete answer, or what has arrived of one that was cut.
    void answered(const std::string &id, int status, bool isWhole, bool isSealed,
                  const std::string &body);
    /*!
        A server has ended under a request that ends each server; \a isHealed: all faults have ended
        and routers have had time to learn what they missed.
    */
    void crashed(const std::string &request, bool isHealed);
    //! Notes a fault that the request \a id has met.
    void fail(const std::string &id, const std::string &fault);
    void keyWithdrawn(const std::string &key, Instant now) { withdrawn_[key] = now; }

    //! Faults so far, one text each.
    const std::vector<std::string> &faults() const { return faults_; }
    std::uint64_t requests() const { return entries_.size(); }
    std::uint64_t served() const { return served_; }

    //! Body of a plain answer, and the events of a stream, that servers give.
    static std::string plainBody(const std::string &id) { return "answer to " + id; }
    static std::string event(const std::string &id, int number);
    static constexpr int kEvents = 12;

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
        int late = 0; //!< Once three were known and all was healed.
    };

    std::map<std::string, Instant> withdrawn_;
    std::map<std::string, Crashes> crashes_; //!< By request.
    std::vector<std::string> faults_;
    std::uint64_t served_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_SOAKCHECK_H
