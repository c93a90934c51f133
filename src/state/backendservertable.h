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

//! One backend server as the scheduler sees it.
struct BackendServerEntry
{
    BackendServer server;
    ZoneIndex zone;
    bool listed = false; //!< It is in the latest host list.
    bool leaving = false;
    bool slow = false; //!< Takes only probe requests.
    double slowFactor = 1;
    StartNumber evidenceStart; //!< Newest start that evidence about it speaks of.
    Instant unavailableUntil {};
    Instant nextProbe {};
    Instant delistedAt {};
    std::uint32_t running = 0;
    std::uint32_t longRunning = 0;
    std::uint32_t markedRunning = 0;
    std::uint32_t urgentRunning = 0;     //!< Of tier 1.
    std::uint32_t urgentLongRunning = 0; //!< Of tier 1 and long.

    bool usable(Instant now) const { return listed && !leaving && unavailableUntil <= now; }
};

/*!
    The backend servers of a pool with the slots in use, and sets of those that have a free slot.

    Thread safety: none; use from one thread.
*/
class BackendServerTable
{
public:
    void setLongShare(double longShare);
    //! Replaces the list. Returns whether a listed server was lost.
    bool setBackendServers(const std::vector<BackendServer> &servers, Instant now);
    void markLeaving(const BackendServerName &name, StartNumber start);
    void markUnavailable(const BackendServerName &name, StartNumber start, Instant until);
    //! Returns the server's index; adds an unlisted entry if it is unknown.
    ServerIndex indexOf(const BackendServerName &name);
    std::optional<ServerIndex> find(const BackendServerName &name) const;
    const BackendServerEntry &at(ServerIndex index) const { return entries_[index.value()]; }

    //! Counts \a record as running on its server.
    void occupy(const RequestRecord &record);
    //! Precondition: occupy() was called for \a record.
    void vacate(const RequestRecord &record);
    //! Changes whether the running \a record counts as a crash suspect.
    void setMarked(RequestRecord &record, bool marked);
    void setSlowFactor(ServerIndex index, double factor);
    //! Postpones the next probe of a slow server.
    void noteProbe(ServerIndex index);

    //! Applies what has changed by \a now without a call. Call before reading the sets.
    void advance(Instant now);
    //! When advance() has something to do.
    std::optional<Instant> nextTime() const;
    //! Returns the earliest time at which an unavailable server is tried again. Linear.
    std::optional<Instant> nextReturn() const;

    //! Servers that have a free slot for a request of \a length.
    const IndexSet &open(RequestLength length) const;
    //! Slow servers that may take one probe request of \a length.
    const IndexSet &probes(RequestLength length) const;
    std::uint32_t slots() const { return sums_.slots; }
    std::uint32_t longSlots() const { return sums_.longSlots; }
    std::uint32_t freeSlots() const { return sums_.freeSlots; }
    //! Slots that would be free if no lower tier ran.
    std::uint32_t urgentRoom() const { return sums_.urgentRoom; }
    //! Of these, the ones open to long requests.
    std::uint32_t urgentLongRoom() const { return sums_.urgentLongRoom; }
    std::uint32_t longCapacity(const BackendServerEntry &entry) const;
    //! Number of servers that are listed and not leaving, whether available or not.
    std::uint32_t presentCount() const { return sums_.present; }
    bool isPresent(const BackendServerName &name) const;
    const std::vector<BackendServerEntry> &entries() const { return entries_; }
    ZoneIndex zoneOf(const AvailabilityZone &zone) { return zones_.indexOf(zone); }

private:
    //! What an entry adds to the sums.
    struct Contribution
    {
        std::uint32_t slots = 0;
        std::uint32_t longSlots = 0;
        std::uint32_t freeSlots = 0;
        std::uint32_t urgentRoom = 0;
        std::uint32_t urgentLongRoom = 0;
        std::uint32_t present = 0;

        Contribution &operator+=(const Contribution &other);
        Contribution &operator-=(const Contribution &other);
    };
    using Wakeup = std::pair<Instant, std::uint32_t>;

    void update(BackendServerEntry &entry, const BackendServer &listed);
    void applyEvidence(BackendServerEntry &entry, StartNumber start);
    void refresh(ServerIndex index);
    Contribution contributionOf(const BackendServerEntry &entry, bool usable) const;
    void removeForgotten(Instant now);

    std::vector<BackendServerEntry> entries_;
    std::vector<Contribution> contributions_;
    std::vector<ServerIndex> unusedIndexes_;
    std::unordered_map<BackendServerName, ServerIndex> indexes_;
    NameTable<AvailabilityZone, ZoneIndex> zones_;
    IndexSet openShort_;
    IndexSet openLong_;
    IndexSet probesShort_;
    IndexSet probesLong_;
    std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> wakeups_;
    Instant now_ {};
    double longShare_ = 0.5;
    Contribution sums_;
};

} // namespace crocusport

#endif // CROCUSPORT_BACKENDSERVERTABLE_H
