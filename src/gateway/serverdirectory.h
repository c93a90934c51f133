#ifndef CROCUSPORT_SERVERDIRECTORY_H
#define CROCUSPORT_SERVERDIRECTORY_H

#include "crocusport/gateway/serverentry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace crocusport {

//! Hash of a backend server's name; identifies the server in messages between routers.
using ServerHash = std::uint32_t;
ServerHash serverHash(const BackendServerName &name);

//! Resources of a backend server that requests use, counted from the time they are sent.
struct ServerLoad
{
    std::uint32_t requests = 0;
    double sensitivity = 0;          //!< Sum over the running streams; see WorkProfile.
    std::uint64_t prefillTokens = 0; //!< Tokens of prompts that are not prefilled yet.
    std::uint64_t memoryTokens = 0;  //!< Tokens of prompts and expected outputs.

    ServerLoad &operator+=(const ServerLoad &other);
    ServerLoad &operator-=(const ServerLoad &other);
};

//! The health of a backend server, from the results of recent attempts.
class ServerHealth
{
public:
    //! Records the end of an attempt with a complete response.
    void noteAnswer(bool isFailure, Instant now);
    //! Records that the server rejected a request without running it.
    void noteRefusal(Instant now);
    //! Records that an attempt ended without a complete, valid response.
    void noteBrokenConnection(Instant now);
    //! Records that no connection could be made.
    void noteUnreachable(Instant now);
    //! Records that another server uses the server's address.
    void noteMisdirected(Instant now);
    //! Records that another router has reported a broken connection to the server.
    void noteBrokenElsewhere(Instant now);
    //! Records that the server asked this router to send no requests for \a pause.
    void notePause(Duration pause, Instant now);
    //! Whether an attempt of this router failed within the last moments, so that it is reported.
    bool isJustBroken(Instant now) const;

    //! Whether requests go to other servers as long as any of these can take them.
    bool isAvoided(Instant now) const { return now < avoidedUntil_; }
    //! Whether the server probably cannot be reached; its load then looks low and must not attract
    //! requests.
    bool isUnreachable(Instant now) const { return now < unreachableUntil_; }
    //! Time until which the server asked for no requests; in the past if it does not ask for that.
    Instant pausedUntil() const { return pausedUntil_; }
    //! Share of failures among recent attempts, from 0 to 1.
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
    A server's pace: the milliseconds that it needs per event of a stream, or per response that is
    not a stream.

    Load pattern: a server becomes slow although its entry and its health checks show no fault.
*/
class ServerPace
{
public:
    //! Adds a sample that this router has measured or another router has reported.
    void note(double ms, Instant now);
    //! Returns the moving mean of the samples; nothing if the last one is too old.
    std::optional<double> recent(Instant now) const;
    //! Returns by which factor the server is slower than \a medianMs, at least 1. The factor decays
    //! after the last sample, so that the server is tried again.
    double slowness(double medianMs, Instant now) const;

private:
    double meanMs_ = 0;
    Instant notedAt_ {};
};

//! By which copy of the store a request was sent to a server.
struct ServerPlacement
{
    Instant at {};
    Duration copyAge {};
    bool isStoreFailing = false; //!< This router's last call to the store had failed.
};

//! What this router knows about one backend server.
struct KnownServer
{
    ServerEntry entry;
    ServerHash hash = 0;
    ServerLoad own;    //!< Load of this router's requests.
    ServerLoad others; //!< Load of other routers' requests, from their last reports.
    ServerHealth health;
    ServerPace pace;
    Instant coldUntil {};
    std::optional<ServerPlacement> lastPlacement;
    double meanRunMs = kUsualRunMs; //!< Moving mean for this router's requests, from send to end.
    bool isGone = false;            //!< The entry was removed or replaced; requests may still run.
    bool isSuperseded = false;      //!< A server that started later uses the address.
    //! The server has announced to this router or another that it is leaving; reset by a restart.
    bool isLeaving = false;

    bool isUsable() const
    {
        return !isGone && !isSuperseded && !isLeaving && entry.state == BackendServerState::Live;
    }
    //! Whether the server is usable and has not asked this router to pause.
    bool takesRequests(Instant now) const { return isUsable() && health.pausedUntil() <= now; }
    //! Whether the server, as far as the router knows, has stopped without announcing it.
    bool hasCrashed() const
    {
        return (isGone || isSuperseded) && !isLeaving && entry.state == BackendServerState::Live;
    }
    ServerLoad load() const;
    //! Records that a request has run to its end in \a time.
    void noteRun(Duration time);
    /*!
        Records that the connection of an attempt that was sent at \a sentAt was closed without a
        complete response. Returns the number of the crash. Attempts sent before the last crash
        belong to that crash; an attempt sent after it shows a new one.
    */
    int noteCrash(Instant sentAt, Instant now);

    static constexpr double kUsualRunMs = 500; //!< Initial value of meanRunMs.

private:
    int crashes_ = 0;
    Instant crashedAt_ {};
};

/*!
    The registered backend servers, by pool.

    What is known of a server belongs to one start of it and outlives its entry: an entry may expire
    while the server runs, and may be written again, also by a write that the store carries out
   late. If the entry is back within kRetentionTime, the server is the same object as before.

    Thread safety: none; use from one thread.
*/
class ServerDirectory
{
public:
    using ServerPointer = std::shared_ptr<KnownServer>;

    //! What is known of a server is kept for this long after the removal of its entry.
    static constexpr Duration kRetentionTime = std::chrono::seconds(60);

    //! Adds or updates a server. The order of the calls decides which entry is the newest, as it is
    //! the order of the store's revisions: an entry may come back as it was.
    void update(const ServerEntry &entry, Instant now);
    /*!
        Sets the pools that the configuration names. An entry of another pool names no server to
        use, so it does not supersede the servers at its address. Until the first call, all pools
        count as named.
    */
    void setPools(std::unordered_set<PoolName> pools);
    //! Removes a server, whose entry was removed at \a now. Does nothing if there is no server of
    //! this name.
    void remove(const BackendServerName &name, Instant now);
    //! Ends the retention of the servers that were removed kRetentionTime ago, and returns them.
    std::vector<ServerPointer> expire(Instant now);

    //! Returns the servers of a pool in the order of their hashes.
    const std::vector<ServerPointer> &pool(const PoolName &name) const;
    ServerPointer find(const BackendServerName &name) const;
    ServerPointer find(ServerHash hash) const;
    //! Returns the registered server, or the last one that was removed and is still retained.
    ServerPointer findRetained(ServerHash hash) const;
    std::size_t size() const { return servers_.size(); }
    template<typename Function>
    void forEach(Function &&function) const
    {
        for (const auto &[name, server] : servers_)
            function(server);
    }

private:
    //! A server without an entry.
    struct RemovedServer
    {
        ServerPointer server;
        Instant at;
    };

    //! Returns the server that \a entry describes, if it was removed and is retained; it is no
    //! longer retained then.
    ServerPointer takeRemoved(const ServerEntry &entry);
    void link(const ServerPointer &server);
    void unlink(const ServerPointer &server);
    //! Decides which of the servers at \a address are superseded, from their entries alone.
    //! Precondition: there is one.
    void settleAddress(const SocketAddress &address);

    bool isNamed(const PoolName &pool) const { return !named_ || named_->contains(pool); }

    std::optional<std::unordered_set<PoolName>> named_; //!< See setPools().
    std::unordered_map<BackendServerName, ServerPointer> servers_;
    std::unordered_map<BackendServerName, RemovedServer> removed_;
    std::unordered_map<ServerHash, ServerPointer> hashes_;
    std::unordered_map<PoolName, std::vector<ServerPointer>> pools_;
    std::unordered_map<SocketAddress, std::vector<ServerPointer>> byAddress_;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVERDIRECTORY_H
