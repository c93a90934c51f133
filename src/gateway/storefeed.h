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
    Keeps the copy of the store's items new: asks the store, or another router, as the plan says.
    One watch of all keys carries the configuration, the backend servers and the routers, and proves
    that what is known is no older than the call. When the store has dropped the history, the items
    are listed again.

    Thread safety: loop thread only. Loop, HTTP clients and routers must outlive the feed.
*/
class StoreFeed
{
public:
    struct Options
    {
        SocketAddress address; //!< Of the store.
        StorePlan::Limits limits;
    };
    //! Called when calls to the store begin to fail, with the reason, and when they succeed again,
    //! without.
    using ReachHandler = std::function<void(const std::string &fault)>;
    //! Called when the copy has become newer after a while, or has changed.
    using NewsHandler = std::function<void()>;

    StoreFeed(EventLoop &loop, HttpClient &storeClient, HttpClient &routerClient,
              const FormatTable &formats, RouterDirectory &routers, Options options,
              StoreMirror::ChangeHandler onChange, ReachHandler onReachChanged, NewsHandler onNews);

    StoreFeed(const StoreFeed &) = delete;
    StoreFeed &operator=(const StoreFeed &) = delete;

    const StoreMirror &mirror() const { return mirror_; }
    const StorePlan &plan() const { return plan_; }
    void setLimits(const StorePlan::Limits &limits);
    //! Knowledge is too old to place requests: the store is asked now, unless a call is under way
    //! or has just failed.
    void refresh();
    //! Something has been heard of other routers that may change whom to ask.
    void reconsider();
    //! Returns what other routers should know of the copy; none when they had better ask others.
    std::optional<StoreHint> hint() const;

    std::uint64_t storeCalls() const { return storeCalls_; }
    std::uint64_t routerCalls() const { return routerCalls_; }

private:
    enum class Step { Listing, Watching };

    void onTimer();
    void arrange();
    void callStore();
    void callRouter(const RouterEntry &router);
    void start(HttpClient &client, HttpCallRequest request);
    void onEnd(const HttpCallEnd &end);
    void onStoreEnd(const HttpCallEnd &end);
    void onRouterEnd(const HttpCallEnd &end);
    void onPage(const StorePage &page);
    void onHeard(const StoreChanges &heard);
    void failStore(const std::string &reason);
    void succeedStore();
    void noteNews(std::optional<Duration> contactBefore, StoreRevision relevantBefore);

    HttpClient &storeClient_;
    HttpClient &routerClient_;
    const FormatTable &formats_;
    RouterDirectory &routers_;
    Options options_;
    ReachHandler onReachChanged_;
    NewsHandler onNews_;
    StoreMirror mirror_;
    StorePlan plan_;
    Timer timer_;
    Step step_ = Step::Listing;
    std::unique_ptr<HttpCall> call_;
    std::optional<RouterEntry> asked_; //!< The router that the call in progress asks.
    std::string body_;
    Duration sentAt_ {};
    std::string listedAfter_; //!< Last key of the page before.
    std::uint64_t storeCalls_ = 0;
    std::uint64_t routerCalls_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_STOREFEED_H
