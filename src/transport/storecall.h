#ifndef CROCUSPORT_STORECALL_H
#define CROCUSPORT_STORECALL_H

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/transport/httpclient.h"
#include "crocusport/transport/timer.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crocusport {

//! The state that all calls and watches of a store client share.
struct StoreCallContext
{
    EventLoop &loop;
    HttpClient &client;
    std::vector<SocketAddress> addresses;
    Duration timeout {};
    std::size_t preferred = 0; //!< Index of the address to try first.

    //! Called when \a address has failed: makes the next address the preferred one. Does nothing
    //! when \a address is not the preferred one any more.
    void failOverFrom(const SocketAddress &address);
};

//! Returns the error for a call to the store that has failed with \a end.
Error storeErrorOf(const HttpCallEnd &end, const SocketAddress &address);

/*!
    One call to the store, including its retries. Destroying it cancels the call.

    Thread safety: loop thread only.
*/
class StoreCall
{
public:
    //! A Read, or an idempotent write passed as Read, is sent a second time when its connection is
    //! closed before the response. A Write is not.
    enum class Kind { Read, Write };
    //! Called once with the body of a successful reply, or an error; may destroy the call.
    using Handler = std::function<void(AsyncResult<std::string>)>;

    StoreCall(StoreCallContext &context, Kind kind, std::string_view path, std::string body,
              Handler onReply);

    StoreCall(const StoreCall &) = delete;
    StoreCall &operator=(const StoreCall &) = delete;

private:
    void send(ConnectionUse use);
    void onEnd(const HttpCallEnd &end);
    bool canRetry(const HttpCallEnd &end) const;
    void finish(AsyncResult<std::string> result);

    StoreCallContext &context_;
    Kind kind_;
    std::string path_;
    std::string body_;
    Handler onReply_;
    SocketAddress address_;
    std::size_t attempts_ = 0;
    std::string reply_;
    Timer timer_;
    std::unique_ptr<HttpCall> call_;
};

} // namespace crocusport

#endif // CROCUSPORT_STORECALL_H
