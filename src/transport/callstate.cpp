#include "callstate.h"

#include "crocusport/transport/eventloop.h"

#include "clientconnection.h"

#include <utility>

namespace crocusport {

CallState::CallState(EventLoop &loop, HttpCallRequest request, HttpCallHandlers handlers)
    : loop_(loop), request_(std::move(request)), handlers_(std::move(handlers)),
      timer_(loop, [this] { onTimer(); })
{ }

void CallState::begin(ClientConnection &connection, bool isConnected)
{
    connection_ = &connection;
    isOnNewConnection_ = !isConnected;
    if (isConnected)
        markConnected();
    else
        timer_.startOnce(request_.connectTimeout);
}

void CallState::markConnected()
{
    isConnected_ = true;
    lastProgress_ = monotonicNow();
    timer_.startOnce(request_.progressTimeout);
}

bool CallState::confirmSending()
{
    if (handlers_.onReady && !handlers_.onReady())
        end(HttpFailure::Withdrawn);
    return !isEnded_;
}

void CallState::markSent()
{
    isSent_ = true;
    lastProgress_ = monotonicNow();
}

void CallState::markReceived()
{
    isReceiving_ = true;
    if (request_.progress == ResponseProgress::Bytes)
        lastProgress_ = monotonicNow();
}

void CallState::reportProgress(Duration limit)
{
    if (isEnded_)
        return;
    lastProgress_ = monotonicNow();
    // The timer is still set to the old limit; a shorter new limit needs an earlier timer.
    if (limit < std::exchange(request_.progressTimeout, limit))
        timer_.startOnce(limit);
}

// Progress does not restart the timer. When the timer fires, it is set again for the time that is
// left since the last progress.
void CallState::onTimer()
{
    if (!isConnected_) {
        end(HttpFailure::ConnectFailed);
        return;
    }
    const auto deadline = lastProgress_ + request_.progressTimeout;
    const auto now = monotonicNow();
    if (now < deadline) {
        timer_.startOnce(deadline - now);
        return;
    }
    if (handlers_.onProgressTimeout && handlers_.onProgressTimeout()) {
        lastProgress_ = now;
        timer_.startOnce(request_.progressTimeout);
        return;
    }
    end(HttpFailure::ProgressTimeout);
}

// A handler may cancel the call. cancel() then leaves the handlers alone, and they are cleared here
// after the handler has returned, so that a running handler is not destroyed.
template<typename Function, typename... Arguments>
void CallState::callHandler(const Function &handler, const Arguments &...arguments)
{
    if (!handler)
        return;
    isInHandler_ = true;
    handler(arguments...);
    isInHandler_ = false;
    if (isEnded_)
        handlers_ = {};
}

void CallState::deliverHead(int status, const HttpHeaders &headers, bool endsWithClose)
{
    if (isEnded_)
        return;
    lastProgress_ = monotonicNow();
    status_ = status;
    endsWithClose_ = endsWithClose;
    callHandler(handlers_.onHead, status, headers);
}

bool CallState::dropResponse()
{
    return !isEnded_ && connection_ && connection_->dropResponse();
}

void CallState::deliverBody(std::string_view data)
{
    if (isEnded_ || data.empty())
        return;
    bodyBytes_ += data.size();
    if (bodyBytes_ > request_.maxResponseBytes) {
        end(HttpFailure::TooLarge);
        return;
    }
    callHandler(handlers_.onBody, data);
}

void CallState::finish()
{
    const bool isComplete = !endsWithClose_ || request_.acceptsCloseDelimited;
    end(isComplete ? HttpFailure::None : HttpFailure::ClosedMidResponse);
}

void CallState::end(HttpFailure failure)
{
    if (isEnded_)
        return;
    detach();
    HttpCallEnd result;
    result.failure = failure;
    result.status = status_;
    result.isRequestSent = isSent_;
    result.endsWithClose = endsWithClose_;
    const auto handlers = std::exchange(handlers_, {});
    // The handler may destroy this object, so no code may follow it.
    if (handlers.onEnd)
        handlers.onEnd(result);
}

void CallState::endLater(const std::shared_ptr<CallState> &state, HttpFailure failure)
{
    state->timer_.stop();
    state->loop_.post([weak = std::weak_ptr<CallState>(state), failure] {
        if (const auto waiting = weak.lock())
            waiting->end(failure);
    });
}

void CallState::cancel()
{
    if (isEnded_)
        return;
    detach();
    if (!isInHandler_)
        handlers_ = {};
}

void CallState::cancelWithoutConnection()
{
    connection_ = nullptr;
    cancel();
}

HttpFailure CallState::closedFailure() const
{
    if (!isConnected_)
        return HttpFailure::ConnectFailed;
    return isReceiving_ ? HttpFailure::ClosedMidResponse : HttpFailure::ClosedBeforeResponse;
}

void CallState::detach()
{
    isEnded_ = true;
    timer_.stop();
    if (auto *const connection = std::exchange(connection_, nullptr))
        connection->release();
}

} // namespace crocusport
