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
    A caller that sends one request after the other on one connection until its peer closes it, and
    records every byte.

    Thread safety: loop thread only.
*/
class RawCaller
{
public:
    struct Handlers
    {
        //! An answer to the request \a id; a cut one comes once the connection has ended.
        std::function<void(const std::string &id, const ReadAnswer &answer)> onAnswer;
        //! Bytes that are no answers, when all of them are judged; \a id is the last request.
        std::function<void(const std::string &id, const std::string &fault)> onFault;
        //! The peer has closed the connection and all has been judged.
        std::function<void()> onEnd;
    };

    RawCaller(EventLoop &loop, const SocketAddress &address, Handlers handlers);
    ~RawCaller();

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    const SocketAddress &address() const { return address_; }
    //! Whether the connection is open and all requests have their whole answers.
    bool isIdle() const { return !isEnded_ && answered_ == ids_.size(); }
    //! Precondition: isIdle().
    void send(const std::string &id, const std::string &bytes);
    //! Judges all bytes; an answer that is under way counts as cut. Called once.
    void judge(ConnectionEnd end);

private:
    static void onRead(bufferevent *buffers, void *self);
    static void onEvent(bufferevent *buffers, short what, void *self);

    SocketAddress address_;
    Handlers handlers_;
    bufferevent *buffers_;
    std::vector<std::string> ids_; //!< Of all requests that were sent.
    std::size_t answered_ = 0;
    std::string received_;
    std::size_t answerStart_ = 0; //!< Of the answer that is under way, in the bytes received.
    bool isEnded_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_RAWCALLER_H
