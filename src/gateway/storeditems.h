#ifndef CROCUSPORT_STOREDITEMS_H
#define CROCUSPORT_STOREDITEMS_H

#include "crashrecords.h"
#include "formattable.h"
#include "logline.h"
#include "routerdirectory.h"
#include "storemirror.h"

#include "crocusport/transport/logwriter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocusport {

/*!
    Applies the changes of a router's copy of the store to what the router acts on: the
    configuration, the backend servers, the routers and the records of crashes. In calm, what the
    router acts on depends only on the items that the copy holds, not on the order in which it has
    read them or on the source.

    The removal of a backend server's entry is held back after an outage of the store, in which
    entries expire although their servers run; it is carried out when
    StoreOutages::mayEntriesReturn() no longer holds and the copy is from after that time, or after
    kMaxReadTime, unless the entry is back by then.

    Times are from the boot clock. Thread safety: none; use from one thread. The parts must outlive
    the object.
*/
class StoredItems
{
public:
    //! A held removal waits at most this long for a copy of the store that is from after the time
    //! in which entries may return: an interval of the reader, one of its follower and the answers.
    static constexpr Duration kMaxReadTime = std::chrono::milliseconds(800);

    struct Parts
    {
        const FormatTable &formats;
        LogWriter &log;
        RouterDirectory &routers;
        CrashRecords<CrashLedger> &crashRecords;
        CrashRecords<PartCrashLedger> &partRecords;
        std::function<void(const std::string &text)> adoptConfiguration;
        std::function<void(const ServerEntry &entry)> updateServer;
        //! Called for entries that were removed or have become unreadable; the server may be
        //! unknown.
        std::function<void(const BackendServerName &name)> removeServer;
    };

    explicit StoredItems(Parts parts) : parts_(std::move(parts)) { }

    //! Returns what the copy needs to know of the items. It uses only \a formats, which must
    //! outlive it.
    static StoreMirror::ItemRules rules(const FormatTable &formats);

    //! Reports a write that the copy has not applied because it has a later value.
    void noteOutdated(const StoreChange &change);
    //! Outdated writes of backend servers' entries since the start.
    std::uint64_t outdatedWrites() const { return outdatedWrites_; }
    //! Applies a change that \a mirror has just made.
    void apply(const StoreChange &change, const StoreMirror &mirror, Duration now);
    //! Handles the loss of an item that a later era of the store lacks, which \a mirror has just
    //! read. Its writer writes it again, if it still applies.
    void noteLost(const std::string &key, const StoreMirror &mirror, Duration now);
    //! Logs how the copy was replaced by one of a later era.
    void logReplacement(const CopyReplacement &replacement) const;
    //! Carries out the removals that need no longer be held back. Call it several times a second.
    void tick(const StoreMirror &mirror, Duration now);
    std::size_t heldRemovals() const { return heldRemovals_.size(); }
    //! Returns for how long the removal of the server's entry has been held; nothing if it is not.
    std::optional<Duration> removalHeldFor(const BackendServerName &name, Duration now) const;
    //! Adds to \a line how \a mirror was last confirmed.
    static void describeConfirmation(LogLine &line, const StoreMirror &mirror);

private:
    void applyServer(const BackendServerName &name, const StoreChange &change,
                     const StoreMirror &mirror, Duration now);
    void applyRouter(const StoreChange &change, Duration now);

    Parts parts_;
    std::uint64_t outdatedWrites_ = 0;
    std::map<BackendServerName, Duration> heldRemovals_; //!< With the times of the removals.
};

} // namespace crocusport

#endif // CROCUSPORT_STOREDITEMS_H
