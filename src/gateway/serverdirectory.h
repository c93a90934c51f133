#ifndef CROCUSPORT_SERVERDIRECTORY_H
#define CROCUSPORT_SERVERDIRECTORY_H

#include "crocusport/gateway/serverentry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocusport {

//! Hash of a backend server's name, as routers tell each other.
using ServerHash = std::uint32_t;
ServerHash serverHash(const BackendServerName &name);

//! What requests use of a backend server, counted from when they are sent.
struct ServerLoad
{
    std::uint32_t requests = 0;
    double sensitivity = 0;          //!< Of the running streams to pauses; see WorkProfile.
    std::uint64_t prefillTokens = 0; //!< Of prompts without their first event.
    std::uint64_t memoryTokens = 0;  //!< Of prompts and expected outputs.

    ServerLoad &operator+=(const ServerLoad &other);
    ServerLoad &operator-=(const ServerLoad &other);
};

//! What attempts on a backend server have shown lately.
class ServerHealth
{
public:
    //! An attempt has ended with an answer of the server.
    void noteAnswer(bool isFailure, Instant now);
    //! The server refused a request that it did not run.
    void noteRefusal(Instant now);
    //! A connection broke without an answer.
    void noteBrokenConnection(Instant now);
    //! No connection could be made.
    void noteUnreachable(Instant now);
    //! Another server answers at its address.
    void noteMisdirected(Instant now);
    //! Another router says that its connection broke.
    void noteBrokenElsewhere(Instant now);
    //! The server wants nothing from this router for \a pause.
    void notePause(Duration pause, Instant now);
    //! Whether a connection of this router broke a moment ago.
    bool isJustBroken(Instant now) const;

    //! Whether requests go elsewhere while others can take them.
    bool isAvoided(Instant now) const { return now < avoidedUntil_; }
    //! Whether the server cannot take a request now, however idle it seems.
    bool isUnreachable(Instant now) const { return now < unreachableUntil_; }
    //! Until when the server wants nothing from this router; in the past if it does not say so.
    Instant pausedUntil() const { return pausedUntil_; }
    //! Share of failures among the last answers, 0 to 1.
    double failureShare() const { return failureShare_; }

private:
    Instant avoidedUntil_ {};
    Instant unreachableUntil_ {};
    Instant pausedUntil_ {};
    Instant brokenAt_ {};
    int brokenInRow_ = 0;
    double failureShare_ = 0;
};

/*!
    How fast a server works: milliseconds for each event of a stream, or for a whole answer.

    Answers the load pattern of servers that turn slow while all they say of themselves is good.
*/
class ServerPace
{
public:
    //! Takes a sample of this router or, later, of another one.
    void note(double ms, Instant now);
    //! The mean of the last samples; none when the last one is long ago.
    std::optional<double> recent(Instant now) const;
    //! How much slower than \a medianMs the server is, at least 1; fades with the time since the
    //! last sample, so that a server is tried again.
    double slowness(double medianMs, Instant now) const;

private:
    double meanMs_ = 0;
    Instant notedAt_ {};
};

//! One backend server as this router knows it.
struct KnownServer
{
    ServerEntry entry;
    ServerHash hash = 0;
    ServerLoad own;    //!< Of this router's requests.
    ServerLoad others; //!< Of the other routers' requests, as they said last.
    ServerHealth health;
    ServerPace pace;
    Instant coldUntil {};
    double meanRunMs = kUsualRunMs; //!< Of this router's requests, from sending to the end.
    bool isGone = false;            //!< Its entry was removed; requests may still run there.
    bool isSuperseded = false;      //!< A server that started later has its address.
    //! It has said in an answer, to this router or another, that it leaves; until it starts again.
    bool isLeaving = false;

    bool isUsable() const
    {
        return !isGone && !isSuperseded && !isLeaving && entry.state == BackendServerState::Live;
    }
    //! Whether the server takes requests of this router now.
    bool takesRequests(Instant now) const { return isUsable() && health.pausedUntil() <= now; }
    //! Whether it has ended, as far as the router knows, without having said that it leaves.
    bool hasCrashed() const
    {
        return (isGone || isSuperseded) && !isLeaving && entry.state == BackendServerState::Live;
    }
    ServerLoad load() const;
    //! A request has run to its end in \a time.
    void noteRun(Duration time);
    /*!
        The connection of an attempt that was sent at \a sentAt was closed without an answer.
        Returns the number of the crash: what was sent after one crash cannot have ended with it.
    */
    int noteCrash(Instant sentAt, Instant now);

    static constexpr double kUsualRunMs = 500; //!< Until some have ended.

private:
    int crashes_ = 0;
    Instant crashedAt_ {};
};

/*!
    The backend servers that are registered, by pool.

    Thread safety: none; use from one thread.
*/
class ServerDirectory
{
public:
    using ServerPointer = std::shared_ptr<KnownServer>;

    //! Adds or updates a server. Returns false when \a entry is older than what is known.
    bool update(const ServerEntry &entry, Instant now);
    //! Removes a server, if it is there.
    void remove(const BackendServerName &name, Instant now);
    //! Forgets removed servers whose late entries need not be recognised any more.
    void expire(Instant now);

    //! Returns the servers of a pool in the order of their hashes.
    const std::vector<ServerPointer> &pool(const PoolName &name) const;
    ServerPointer find(const BackendServerName &name) const;
    ServerPointer find(ServerHash hash) const;
    std::size_t size() const { return servers_.size(); }
    template<typename Function>
    void forEach(Function &&function) const
    {
        for (const auto &[name, server] : servers_)
            function(server);
    }

private:
    struct Removed
    {
        ServerEntry entry;
        Instant at {};
    };

    void unlink(const ServerPointer &server);
    void claimAddress(const ServerPointer &server);
    void releaseAddress(const ServerPointer &server);

    std::unordered_map<BackendServerName, ServerPointer> servers_;
    std::unordered_map<ServerHash, ServerPointer> hashes_;
    std::unordered_map<PoolName, std::vector<ServerPointer>> pools_;
    std::unordered_map<SocketAddress, ServerPointer> byAddress_; //!< The one that started last.
    std::unordered_map<BackendServerName, Removed> removed_;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERDIRECTORY_H
