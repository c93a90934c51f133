#ifndef CROCUSPORT_RAWCALLER_H
#define CROCUSPORT_RAWCALLER_H

#include "../../transport/answerreader.h"

#include "crocusport/state/identifiers.h"
#include "crocusport/transport/eventloop.h"

#include <functional>
#include <string>
#include <vector>

struct bufferevent;

namespace crocusport {

/*!
    A caller that sends one request after another on a single connection until the peer closes it,
    and records every byte that it receives.

    Thread safety: loop thread only.
*/
class RawCaller
{
public:
    struct Handlers
    {
        //! Called with the answer to the request \a id; only checkReceived() reports a truncated
        //! answer.
        std::function<void(const std::string &id, const ReadAnswer &answer)> onAnswer;
        //! Called by checkReceived() if some bytes are no answers; \a id is the last request sent.
        std::function<void(const std::string &id, const std::string &fault)> onFault;
        //! Called after checkReceived() when the peer has closed or reset the connection.
        std::function<void()> onEnd;
    };

    RawCaller(EventLoop &loop, const SocketAddress &address, Handlers handlers);
    ~RawCaller();

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    const SocketAddress &address() const { return address_; }
    //! Whether the connection is open and every request has its complete answer.
    bool isIdle() const { return !isEnded_ && answered_ == ids_.size(); }
    //! Sends \a bytes, which are the request \a id. Precondition: isIdle().
    void send(const std::string &id, const std::string &bytes);
    /*!
        Checks all bytes received; reports a fault and the answers that were not reported before. An
        unfinished answer counts as truncated. \a end tells how the connection ended, if it did. To
        be called only once.
    */
    void checkReceived(ConnectionEnd end);

private:
    static void onRead(bufferevent *buffers, void *self);
    static void onEvent(bufferevent *buffers, short what, void *self);

    SocketAddress address_;
    Handlers handlers_;
    bufferevent *buffers_;
    std::vector<std::string> ids_; //!< Ids of all requests sent, in order.
    std::size_t answered_ = 0;
    std::string received_;
    std::size_t answerStart_ = 0; //!< Offset in received_ of the current or next answer.
    bool isEnded_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_RAWCALLER_H
