#ifndef CROCUSPORT_FAULTPROXY_H
#define CROCUSPORT_FAULTPROXY_H

#include "crocusport/state/identifiers.h"
#include "crocusport/transport/eventloop.h"
#include "crocusport/transport/timer.h"

#include <event2/listener.h>

#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evbuffer;

namespace crocusport {

/*!
    A TCP proxy on loopback that injects faults into the connections that it forwards, and into the
    HTTP answers that backend servers send on them.

    Thread safety: loop thread only.
*/
class FaultProxy
{
public:
    /*!
        The fault of all connections. Silent discards all bytes. OneWay discards bytes from the
        server, and after the first of them also those from the client. Both leave the connections
        open. Reset resets open and new connections. Delay forwards bytes in bursts.
    */
    enum class Fault { None, Silent, OneWay, Reset, Delay };

    //! The fault of a single answer.
    struct AnswerFault
    {
        //! Copy sends the answer a second time. WithoutLength removes the length, so that only the
        //! close of the connection ends the answer.
        enum class Kind { None, Copy, WithoutLength };

        Kind kind = Kind::None;
        //! Time until the copy is sent, if the client does not send its next request before; zero:
        //! the copy is sent at once.
        Duration delay {};
        bool isWithId = true; //!< Whether the copy has the X-Attempt-Id of its request.
    };

    FaultProxy(EventLoop &loop, SocketAddress target);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    const SocketAddress &address() const { return address_; }
    //! Applies \a fault to open and new connections. If the previous fault was Silent or OneWay,
    //! the connections that are open now discard all bytes until they are closed.
    void setFault(Fault fault);
    //! Applies \a fault to the next \a answers that servers begin, in addition to the fault of the
    //! connections.
    void setAnswerFault(const AnswerFault &fault, int answers);

private:
    struct Link
    {
        FaultProxy *proxy = nullptr;
        bufferevent *client = nullptr;
        bufferevent *server = nullptr;
        bool isSilenced = false; //!< Discards all further bytes, even after the fault has ended.
        AnswerFault fault;       //!< Fault of the answer that is being forwarded.
        std::string answer;      //!< Bytes received of the current answer; empty between answers.
        bool isHeadForwarded =
            false; //!< Whether the head was forwarded; used only for WithoutLength.
        std::size_t forwardedBodyBytes =
            0;            //!< Bytes of the body forwarded; used only for WithoutLength.
        std::string copy; //!< Copy of the last complete answer.
        std::unique_ptr<Timer> copyTimer;
    };

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *address, int size,
                           void *self);
    static void onRead(bufferevent *from, void *link);
    //! Forwards \a input, a part of an answer, and applies the fault of that answer.
    void forwardAnswer(Link *link, evbuffer *input);
    static void forwardWithoutLength(Link *link);
    void sendCopy(Link *link);
    static void closeOnceDrained(bufferevent *from, Link *link);
    static void onDrained(bufferevent *to, void *link);
    static void onEvent(bufferevent *from, short what, void *link);
    void close(Link *link, bool isReset);
    void resumeReading();

    EventLoop &loop_;
    SocketAddress target_;
    SocketAddress address_;
    evconnlistener *listener_ = nullptr;
    std::list<Link> links_;
    Fault fault_ = Fault::None;
    AnswerFault answerFault_;
    int faultyAnswers_ = 0; //!< Number of coming answers to apply answerFault_ to.
    Timer delayTimer_;
};

} // namespace crocusport

#endif // CROCUSPORT_FAULTPROXY_H
