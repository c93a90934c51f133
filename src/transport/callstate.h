#ifndef CROCUSPORT_CALLSTATE_H
#define CROCUSPORT_CALLSTATE_H

#include "crocusport/transport/httpclient.h"
#include "crocusport/transport/timer.h"

#include <memory>

namespace crocusport {

class ClientConnection;

/*!
    The state and timeouts of one call. Shared by the HttpCall and the connection that carries it.

    Thread safety: loop thread only.
*/
class CallState
{
public:
    CallState(EventLoop &loop, HttpCallRequest request, HttpCallHandlers handlers);

    CallState(const CallState &) = delete;
    CallState &operator=(const CallState &) = delete;

    HttpCallRequest &request() { return request_; }
    bool isEnded() const { return isEnded_; }
    bool isOnNewConnection() const { return isOnNewConnection_; }

    //! Starts the connect timeout, or the progress timeout when \a connection \a isConnected.
    void begin(ClientConnection &connection, bool isConnected);
    //! The connection is established: starts the progress timeout.
    void markConnected();
    //! Asks HttpCallHandlers::onReady whether to send the request on the new connection. Ends the
    //! call with Withdrawn if not.
    bool confirmSending();
    //! The request has been handed to the socket buffer.
    void markSent();
    //! The connection has closed before the socket took any byte of the request.
    void markUnsent() { isSent_ = false; }
    //! Bytes of the response have been received.
    void markReceived();
    //! See HttpCall::reportProgress().
    void reportProgress(Duration limit);
    //! All bytes in the send buffer have been written to the socket.
    void markWritten() { lastProgress_ = monotonicNow(); }

    //! See HttpCall::dropResponse().
    bool dropResponse();
    //! Passes the response head to its handler. \a endsWithClose says that only the close of the
    //! connection delimits the body.
    void deliverHead(int status, const HttpHeaders &headers, bool endsWithClose);
    //! Passes \a data to its handler; ends the call when the body exceeds its limit.
    void deliverBody(std::string_view data);
    //! Ends the call at the end of the response, with ClosedMidResponse if the response is
    //! close-delimited and the call does not accept that.
    void finish();
    //! Ends the call and calls onEnd. Does nothing when the call has ended already.
    void end(HttpFailure failure);
    //! Ends the call in the next iteration of the loop.
    static void endLater(const std::shared_ptr<CallState> &state, HttpFailure failure);
    //! Ends the call without calling a handler.
    void cancel();
    //! Cancels the call without accessing its connection, which is being destroyed.
    void cancelWithoutConnection();
    //! The failure to report when the connection is closed now.
    HttpFailure closedFailure() const;

private:
    template<typename Function, typename... Arguments>
    void callHandler(const Function &handler, const Arguments &...arguments);
    void onTimer();
    void detach();

    EventLoop &loop_;
    HttpCallRequest request_;
    HttpCallHandlers handlers_;
    ClientConnection *connection_ = nullptr; //!< Null before begin() and after the end of the call.
    Timer timer_;
    Instant lastProgress_ {}; //!< Time of the last progress, from which the timeout counts.
    std::size_t bodyBytes_ = 0;
    int status_ = 0;
    bool isConnected_ = false;
    bool isOnNewConnection_ = false;
    bool isSent_ = false;
    bool isReceiving_ = false;
    bool endsWithClose_ = false;
    bool isEnded_ = false;
    bool isInHandler_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_CALLSTATE_H
