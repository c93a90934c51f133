#ifndef CROCUSPORT_STOREFEED_H
#define CROCUSPORT_STOREFEED_H

#include "formattable.h"
#include "storemirror.h"
#include "storeplan.h"

#include "crocusport/transport/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusport {

/*!
    Keeps a copy of the store's items fresh: polls the store or another router, as StorePlan
    decides. One watch of all keys returns the changes of the configuration, the backend servers and
    the routers. Its response proves that the copy is no older than the call. If the store has
    discarded the history that the watch needs, or is in a later era than the copy, all items are
    listed again.

    Only a response that brings a listing forward is followed by a call at once: another page, or
    the watch after the last one. All other calls wait for the pauses of StorePlan, whatever the
    store answers.

    Thread safety: loop thread only. Loop, HTTP clients and routers must outlive the feed.
*/
class StoreFeed
{
public:
    struct Options
    {
        SocketAddress address; //!< Address of the store.
        StorePlan::Limits limits;
    };
    //! Called with the reason when calls to the store start to fail, and with an empty string when
    //! they succeed again.
    using ReachabilityHandler = std::function<void(const std::string &fault)>;
    //! Called when relevant items have changed, or when a stale copy has become fresh.
    using UpdateHandler = std::function<void()>;
    //! Called when the store is known to be in a later era than the copy of this router.
    using EraHandler = std::function<void()>;

    StoreFeed(EventLoop &loop, HttpClient &storeClient, HttpClient &routerClient,
              const FormatTable &formats, RouterDirectory &routers, Options options,
              StoreMirror mirror, ReachabilityHandler onReachabilityChanged,
              UpdateHandler onUpdated, EraHandler onEraEnded);

    StoreFeed(const StoreFeed &) = delete;
    StoreFeed &operator=(const StoreFeed &) = delete;

    const StoreMirror &mirror() const { return mirror_; }
    const StorePlan &plan() const { return plan_; }
    void setLimits(const StorePlan::Limits &limits);
    //! Queries the store as soon as possible, since the copy is too old to place requests. A call
    //! in progress and the back-off after a failure delay the query.
    void refresh();
    //! Whether a copy beyond its maximum age may be used; see StorePlan::isCutOff().
    bool isCutOff() const;
    //! Records that an answer of the store was of \a era. Returns whether it is the latest known
    //! era.
    bool noteEra(StoreEra era);
    //! Returns how the copy was replaced by one of a later era, once.
    std::optional<CopyReplacement> takeReplacement() { return mirror_.takeReplacement(); }
    //! Returns how often the store has been in a later era than a complete copy of this router.
    std::uint64_t endedEras() const { return endedEras_; }
    //! Takes in what a report of another router has changed in the directory: whether the store
    //! answers that router, and which router to query next.
    void onRouterReport();
    //! Returns the hint for reports to other routers; nothing if they should not query this one.
    //! Its revision is 0 while this router has read nothing of the latest era yet.
    std::optional<StoreHint> hint() const;

    std::uint64_t storeCalls() const { return storeCalls_; }
    std::uint64_t routerCalls() const { return routerCalls_; }

private:
    enum class Step { Listing, Watching };
    struct Question
    {
        StoreEra era; //!< Latest known era when it was asked.
        bool isFirstPage = false;
    };

    void onTimer();
    void scheduleQuery();
    void rescheduleQuery();
    void callStore();
    void callRouter(const RouterEntry &router);
    void start(HttpClient &client, HttpCallRequest request);
    void onEnd(const HttpCallEnd &end);
    void onStoreEnd(const HttpCallEnd &end);
    void onRouterEnd(const HttpCallEnd &end);
    //! Begins a listing anew, after the pause that StorePlan requires.
    void listAgain();
    void onPage(const StorePage &page);
    void onRouterChanges(const StoreChanges &heard);
    //! \a isLimited: the store has refused the call because of its limit of calls.
    void onStoreFailure(const std::string &reason, bool isLimited = false);
    void onStoreSuccess();
    void notifyIfUpdated(std::optional<Duration> freshAtBefore);

    HttpClient &storeClient_;
    HttpClient &routerClient_;
    const FormatTable &formats_;
    RouterDirectory &routers_;
    Options options_;
    ReachabilityHandler onReachabilityChanged_;
    UpdateHandler onUpdated_;
    EraHandler onEraEnded_;
    StoreMirror mirror_;
    StorePlan plan_;
    Timer timer_;
    Step step_ = Step::Listing; //!< Of the call in progress, or of the next one.
    std::unique_ptr<HttpCall> call_;
    //! Router queried by the current call; nothing: the store.
    std::optional<RouterEntry> queriedRouter_;
    std::string body_;
    std::optional<StoreEra> answeredEra_; //!< Named in the head of the response.
    Question question_;                   //!< Of the call to the store in progress.
    Duration sentAt_ {};
    std::string listedAfter_;        //!< Last key of the previous page.
    StorePosition notifiedRelevant_; //!< Of the copy when onUpdated_ was considered last.
    std::uint64_t endedEras_ = 0;
    std::uint64_t storeCalls_ = 0;
    std::uint64_t routerCalls_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_STOREFEED_H
