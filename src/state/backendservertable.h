#ifndef CROCUSPORT_BACKENDSERVERTABLE_H
#define CROCUSPORT_BACKENDSERVERTABLE_H

#include "crocusport/state/backendserver.h"
#include "crocusport/state/instant.h"
#include "indexset.h"
#include "nametable.h"
#include "requestrecord.h"

#include <array>
#include <cstdint>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace crocusport {

//! What the scheduler knows about one backend server.
struct BackendServerEntry
{
    BackendServer server;
    ZoneIndex zone;
    bool listed = false; //!< The latest host list contains the server.
    bool leaving = false;
    bool slow = false; //!< The server gets only probe requests.
    double slowFactor = 1;
    StartNumber newestStart; //!< Newest start number known.
    Instant unavailableUntil {};
    Instant nextProbe {};
    Instant delistedAt {};
    std::uint32_t running = 0;
    std::uint32_t longRunning = 0;
    std::uint32_t suspectsRunning = 0;
    std::uint32_t urgentRunning = 0;     //!< Running requests of tier 1.
    std::uint32_t urgentLongRunning = 0; //!< Running long requests of tier 1.

    bool usable(Instant now) const { return listed && !leaving && unavailableUntil <= now; }
};

/*!
    The backend servers of a pool, the slots in use on each of them, and the sets of servers that
    have a free slot.

    Thread safety: none; use from one thread.
*/
class BackendServerTable
{
public:
    void setLongShare(double longShare);
    //! Replaces the list of servers. Returns whether the pool now has fewer servers that are listed
    //! and not leaving, or fewer slots on usable servers, than before.
    bool setBackendServers(const std::vector<BackendServer> &servers, Instant now);
    void markLeaving(const BackendServerName &name, StartNumber start);
    void markUnavailable(const BackendServerName &name, StartNumber start, Instant until);
    //! Returns the server's index; adds an unlisted entry if it is unknown.
    ServerIndex indexOf(const BackendServerName &name);
    std::optional<ServerIndex> find(const BackendServerName &name) const;
    const BackendServerEntry &at(ServerIndex index) const { return entries_[index.value()]; }

    //! Counts \a record as running on its server.
    void occupy(const RequestRecord &record);
    //! Stops counting \a record as running on its server. Precondition: occupy() was called for
    //! \a record.
    void vacate(const RequestRecord &record);
    //! Sets whether \a record counts as a crash suspect. Precondition: \a record is running.
    void setCrashSuspect(RequestRecord &record, bool crashSuspect);
    void setSlowFactor(ServerIndex index, double factor);
    //! Postpones the next probe of a slow server.
    void noteProbe(ServerIndex index);

    //! Applies what changes with time alone until \a now: servers become available again or may be
    //! probed. Must be called before the sets are read.
    void advance(Instant now);
    //! Returns the next time at which advance() has something to do, or nothing.
    std::optional<Instant> nextEventTime() const;
    //! Returns the earliest time at which an unavailable server becomes available, or nothing.
    //! Linear.
    std::optional<Instant> nextAvailableTime() const;

    //! Returns the servers that are not slow and have a free slot for a request of \a length.
    const IndexSet &serversWithFreeSlot(RequestLength length) const;
    //! Returns the slow servers that may get one probe request of \a length.
    const IndexSet &serversToProbe(RequestLength length) const;
    //! Returns the slots of the usable servers, free or not.
    std::uint32_t slots() const { return sums_.slots; }
    //! Returns the slots of the usable servers that are open to long requests, free or not.
    std::uint32_t longSlots() const { return sums_.longSlots; }
    //! Returns the free slots of the usable servers that are not slow.
    std::uint32_t freeSlots() const { return sums_.freeSlots; }
    //! Returns the slots of the usable servers that would be free if only tier 1 ran.
    std::uint32_t slotsNotUsedByUrgent() const { return sums_.slotsNotUsedByUrgent; }
    //! Returns how many of the slotsNotUsedByUrgent() slots a long request could use.
    std::uint32_t longSlotsNotUsedByUrgent() const { return sums_.longSlotsNotUsedByUrgent; }
    //! Returns how many long requests may run on the server of \a entry; at least one.
    std::uint32_t longCapacity(const BackendServerEntry &entry) const;
    //! Returns the number of servers that are listed and not leaving, available or not.
    std::uint32_t presentCount() const { return sums_.present; }
    bool isPresent(const BackendServerName &name) const;
    const std::vector<BackendServerEntry> &entries() const { return entries_; }
    ZoneIndex zoneOf(const AvailabilityZone &zone) { return zones_.indexOf(zone); }

private:
    //! What one entry adds to sums_.
    struct Contribution
    {
        std::uint32_t slots = 0;
        std::uint32_t longSlots = 0;
        std::uint32_t freeSlots = 0;
        std::uint32_t slotsNotUsedByUrgent = 0;
        std::uint32_t longSlotsNotUsedByUrgent = 0;
        std::uint32_t present = 0;

        Contribution &operator+=(const Contribution &other);
        Contribution &operator-=(const Contribution &other);
    };
    using Wakeup = std::pair<Instant, std::uint32_t>;

    void update(BackendServerEntry &entry, const BackendServer &listed);
    void resetOnNewStart(BackendServerEntry &entry, StartNumber start);
    void refresh(ServerIndex index);
    Contribution contributionOf(const BackendServerEntry &entry, bool usable) const;
    void removeExpiredEntries(Instant now);

    std::vector<BackendServerEntry> entries_;
    std::vector<Contribution> contributions_;
    std::vector<ServerIndex> unusedIndexes_;
    std::unordered_map<BackendServerName, ServerIndex> indexes_;
    NameTable<AvailabilityZone, ZoneIndex> zones_;
    IndexSet freeForShort_;
    IndexSet freeForLong_;
    IndexSet probeForShort_;
    IndexSet probeForLong_;
    std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> wakeups_;
    Instant now_ {};
    double longShare_ = 0.5;
    Contribution sums_;
};

} // namespace crocusport

#endif // CROCUSPORT_BACKENDSERVERTABLE_H
