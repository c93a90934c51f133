#ifndef CROCUSPORT_PENDINGCALLS_H
#define CROCUSPORT_PENDINGCALLS_H

#include "crocusport/transport/httpclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace crocusport {

//! What was received of a response.
struct CallResponse
{
    HttpHeaders headers;
    std::string body;
};

/*!
    HTTP calls in progress whose responses are small and read as a whole. Destroying the object
    cancels its calls.

    Thread safety: loop thread only. The client must outlive the object.
*/
class PendingCalls
{
public:
    //! Receives the end of a call and its response.
    using EndHandler = std::function<void(const HttpCallEnd &end, const CallResponse &response)>;

    explicit PendingCalls(HttpClient &client) : client_(client) { }

    /*!
        Starts a call, which ends after \a timeout without progress. \a mayStillSend, which may be
        empty, is asked again when a new connection is established; if it returns false, the call
        ends without being sent.
    */
    void start(HttpCallRequest request, Duration timeout, std::function<bool()> mayStillSend,
               EndHandler onEnd);
    std::uint64_t startedCount() const { return started_; }

private:
    struct Pending
    {
        std::unique_ptr<HttpCall> call;
        CallResponse response;
    };

    HttpClient &client_;
    std::map<std::uint64_t, Pending> calls_;
    std::uint64_t started_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_PENDINGCALLS_H
