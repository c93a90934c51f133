#include "manifestwatcher.h"

#include "logline.h"

#include "crocusport/coordination/publisher.h"
#include "crocusport/transport/eventloop.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

// Covers a watch that went silent without an error; 3 watchers at this rate cost the store 1.5
// reads a second.
constexpr Duration kPollInterval = std::chrono::seconds(2);

} // namespace

ManifestWatcher::ManifestWatcher(EventLoop &loop, StoreClient &store, DocumentHandler onDocument)
    : store_(store), onDocument_(std::move(onDocument)), pollTimer_(loop, [this] { read(); })
{ }

void ManifestWatcher::read()
{
    store_.get(kConfigurationKey, [this](const auto &result) { onEntry(result); });
}

void ManifestWatcher::setWatching(bool isWatching)
{
    if (isWatching == isWatching_)
        return;
    isWatching_ = isWatching;
    LOG(INFO) << LogLine("store_watch").add("active", isWatching ? "yes" : "no").text();
    if (!isWatching) {
        pollTimer_.stop();
        store_.cancelWatch(kConfigurationKey);
        isWatchOpen_ = false;
        return;
    }
    pollTimer_.startPeriodic(kPollInterval);
    read();
}

void ManifestWatcher::onEntry(const AsyncResult<std::optional<StoreEntry>> &result)
{
    const auto *const entry = std::get_if<std::optional<StoreEntry>>(&result);
    if (!entry) {
        if (isStoreReachable_)
            LOG(WARNING) << LogLine("store_unreachable")
                                .add("error", std::get<Error>(result).message)
                                .text();
        isStoreReachable_ = false;
        return;
    }
    if (!isStoreReachable_)
        LOG(INFO) << LogLine("store_reachable").text();
    isStoreReachable_ = true;
    if (*entry) {
        revision_ = std::max(revision_, (*entry)->modRevision);
        onDocument_((*entry)->value);
    }
    if (isWatching_ && !isWatchOpen_)
        startWatch();
}

void ManifestWatcher::startWatch()
{
    isWatchOpen_ = true;
    store_.watch(kConfigurationKey, revision_ + 1,
                 [this](const auto &result) { onWatchEvent(result); });
}

void ManifestWatcher::onWatchEvent(const AsyncResult<std::optional<StoreEntry>> &result)
{
    const auto *const entry = std::get_if<std::optional<StoreEntry>>(&result);
    if (!entry) {
        isWatchOpen_ = false; // The next poll opens a new one.
        return;
    }
    if (!*entry)
        return;
    revision_ = std::max(revision_, (*entry)->modRevision);
    onDocument_((*entry)->value);
}

} // namespace crocusport
