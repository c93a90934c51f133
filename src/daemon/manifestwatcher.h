#ifndef CROCUSPORT_MANIFESTWATCHER_H
#define CROCUSPORT_MANIFESTWATCHER_H

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/transport/storeclient.h"
#include "crocusport/transport/timer.h"

#include <functional>
#include <string>

namespace crocusport {

class EventLoop;

/*!
    Reads the configuration manifest from the store: once at the start, and with a watch and a slow
    poll while this router is a store watcher.

    Thread safety: loop thread only. The store client must outlive it.
*/
class ManifestWatcher
{
public:
    using DocumentHandler = std::function<void(const std::string &document)>;

    ManifestWatcher(EventLoop &loop, StoreClient &store, DocumentHandler onDocument);

    //! Reads the manifest once.
    void read();
    //! Starts or stops watching.
    void setWatching(bool isWatching);
    bool isWatching() const { return isWatching_; }
    //! Whether the last call to the store was answered.
    bool isStoreReachable() const { return isStoreReachable_; }

private:
    void onEntry(const AsyncResult<std::optional<StoreEntry>> &result);
    void startWatch();
    void onWatchEvent(const AsyncResult<std::optional<StoreEntry>> &result);

    StoreClient &store_;
    DocumentHandler onDocument_;
    Timer pollTimer_;
    StoreRevision revision_ = 0;
    bool isWatching_ = false;
    bool isWatchOpen_ = false;
    bool isStoreReachable_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_MANIFESTWATCHER_H
