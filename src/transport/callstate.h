#ifndef CROCUSPORT_CALLSTATE_H
#define CROCUSPORT_CALLSTATE_H

#include "crocusport/transport/httpclient.h"
#include "crocusport/transport/timer.h"

#include <memory>

namespace crocusport {

class ClientConnection;

/*!
    What one call has seen so far. Shared by the HttpCall and the connection that carries it.

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

    //! Starts the time limit of the connection, or of progress when it \a isConnected.
    void begin(ClientConnection &connection, bool isConnected);
    void markConnected();
    //! Whether the request may be sent on the new connection; ends the call otherwise.
    bool confirmSending();
    void markSent();
    void markReceived();
    //! The user of the call has seen progress; from now on silence of \a limit is too long.
    void noteProgress(Duration limit);
    //! Bytes of the request have left.
    void markMoved() { lastMoved_ = monotonicNow(); }

    //! See HttpCall::dropResponse().
    bool dropResponse();
    //! \a endsWithClose tells that only the close of the connection will end the body.
    void deliverHead(int status, const HttpHeaders &headers, bool endsWithClose);
    //! Hands over \a data; ends the call when the body has become too large.
    void deliverBody(std::string_view data);
    //! Ends the call at the end of the response.
    void finish();
    //! Ends the call; only the first end counts.
    void end(HttpFailure failure);
    //! Ends the call from the loop.
    static void endLater(const std::shared_ptr<CallState> &state, HttpFailure failure);
    //! Ends the call without calling a handler.
    void cancel();
    //! Cancels the call without touching its connection, which is being destroyed.
    void forgetConnection();
    //! What the loss of the connection means at this point.
    HttpFailure closedFailure() const;

private:
    template<typename Function, typename... Arguments>
    void callHandler(const Function &handler, const Arguments &...arguments);
    void onTimer();
    void detach();

    EventLoop &loop_;
    HttpCallRequest request_;
    HttpCallHandlers handlers_;
    ClientConnection *connection_ = nullptr; //!< Null before the start and after the end.
    Timer timer_;
    Instant lastMoved_ {};
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
