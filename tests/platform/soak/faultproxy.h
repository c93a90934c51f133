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
    Forwards TCP connections on loopback and injects faults into them, and into HTTP answers that
    servers give on them.

    Thread safety: loop thread only.
*/
class FaultProxy
{
public:
    //! What happens to bytes: Reset also ends the connections that are open, Delay passes them on
    //! in bursts.
    enum class Fault { None, Silent, OneWay, Reset, Delay };

    //! What happens to an answer.
    struct AnswerFault
    {
        //! Copy: it is sent a second time; WithoutLength: it has no length and ends by a close.
        enum class Kind { None, Copy, WithoutLength };

        Kind kind = Kind::None;
        Duration delay {};    //!< Of the copy; zero sends it at once.
        bool isWithId = true; //!< Whether the copy says whose answer it is.
    };

    FaultProxy(EventLoop &loop, SocketAddress target);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    const SocketAddress &address() const { return address_; }
    void setFault(Fault fault);
    //! The next \a answers that servers begin have \a fault, beside the fault of the connections.
    void setAnswerFault(const AnswerFault &fault, int answers);

private:
    struct Link
    {
        FaultProxy *proxy = nullptr;
        bufferevent *client = nullptr;
        bufferevent *server = nullptr;
        bool isStuck = false;      //!< Went silent, and stays so for good.
        AnswerFault fault;         //!< Of the answer that is under way.
        std::string answer;        //!< What has come of it; empty between answers.
        bool isHeadPassed = false; //!< Where it is sent without a length.
        std::size_t passed = 0;    //!< Bytes of the body passed on, likewise.
        std::string copy;          //!< Of the last whole answer.
        std::unique_ptr<Timer> copyTimer;
    };

    static void onAccepted(evconnlistener *listener, int socket, sockaddr *address, int size,
                           void *self);
    static void onRead(bufferevent *from, void *link);
    //! Passes on what has come of an answer, with its fault.
    void passAnswer(Link *link, evbuffer *input);
    static void passWithoutLength(Link *link);
    void sendCopy(Link *link);
    static void closeOnceDrained(bufferevent *from, Link *link);
    static void onDrained(bufferevent *to, void *link);
    static void onEvent(bufferevent *from, short what, void *link);
    void close(Link *link, bool isReset);
    void passDelayed();

    EventLoop &loop_;
    SocketAddress target_;
    SocketAddress address_;
    evconnlistener *listener_ = nullptr;
    std::list<Link> links_;
    Fault fault_ = Fault::None;
    AnswerFault answerFault_;
    int faultyAnswers_ = 0; //!< Answers that have it next.
    Timer delayTimer_;
};

} // namespace crocusport

#endif // CROCUSPORT_FAULTPROXY_H
