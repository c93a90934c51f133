#include "faultproxy.h"

#include "../../transport/answerreader.h"

#include "socketaddresses.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

namespace crocusport {

namespace {

// Longer than any network latency inside a region, shorter than the timeouts of calls.
constexpr Duration kDelay = std::chrono::milliseconds(200);
// Interval after which a due copy is tried again while another answer is being forwarded.
constexpr Duration kCopyRetry = std::chrono::milliseconds(5);
constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool isWhole(const ReadConnection &read)
{
    return !read.answers.empty() && read.answers.front().isComplete;
}

ReadConnection readOne(const std::string &answer)
{
    return readAnswers(answer, 1, ConnectionEnd::Open);
}

std::string withoutId(std::string answer)
{
    const auto start = answer.find("X-Attempt-Id: ");
    if (start < answer.find(kHeadEnd))
        answer.erase(start, answer.find("\r\n", start) + 2 - start);
    return answer;
}

} // namespace

FaultProxy::FaultProxy(EventLoop &loop, SocketAddress target)
    : loop_(loop), target_(std::move(target)), delayTimer_(loop, [this] { resumeReading(); })
{
    listener_ = handleErrors(
        [&] {
            return openListener(loop.base(), SocketAddress("127.0.0.1:0"), &FaultProxy::onAccepted,
                                this);
        },
        [](const Error &error) -> evconnlistener * { throw std::runtime_error(error.message); });
    address_ = listenerAddress(listener_);
}

FaultProxy::~FaultProxy()
{
    evconnlistener_free(listener_);
    while (!links_.empty())
        close(&links_.front(), true);
}

void FaultProxy::setFault(Fault fault)
{
    // Silenced connections stay silent, as if a network device between the two ends had lost their
    // state.
    if (fault_ == Fault::Silent || fault_ == Fault::OneWay) {
        for (auto &link : links_)
            link.isSilenced = true;
    }
    fault_ = fault;
    if (fault == Fault::Delay)
        delayTimer_.startPeriodic(kDelay);
    else
        delayTimer_.stop();
    resumeReading();
    if (fault != Fault::Reset)
        return;
    while (!links_.empty())
        close(&links_.front(), true);
}

void FaultProxy::setAnswerFault(const AnswerFault &fault, int answers)
{
    answerFault_ = fault;
    faultyAnswers_ = answers;
}

void FaultProxy::resumeReading()
{
    for (auto &link : links_) {
        for (auto *const end : { link.client, link.server })
            bufferevent_enable(end, EV_READ);
    }
}

void FaultProxy::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/,
                            int /*size*/, void *self)
{
    auto *const proxy = static_cast<FaultProxy *>(self);
    auto &link = proxy->links_.emplace_back();
    link.proxy = proxy;
    link.client = bufferevent_socket_new(proxy->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    link.server = bufferevent_socket_new(proxy->loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (proxy->fault_ == Fault::Reset) {
        proxy->close(&link, true);
        return;
    }
    for (auto *const end : { link.client, link.server })
        bufferevent_setcb(end, &FaultProxy::onRead, nullptr, &FaultProxy::onEvent, &link);
    const auto raw = handleErrors([&] { return parseSocketAddress(proxy->target_); },
                                  [](const Error & /*error*/) { return RawSocketAddress(); });
    bufferevent_socket_connect(link.server, raw.get(), raw.size);
    bufferevent_enable(link.client, EV_READ | EV_WRITE);
    bufferevent_enable(link.server, EV_READ | EV_WRITE);
}

void FaultProxy::onRead(bufferevent *from, void *argument)
{
    auto *const link = static_cast<Link *>(argument);
    auto *const input = bufferevent_get_input(from);
    const auto fault = link->proxy->fault_;
    const bool isDropped = link->isSilenced || fault == Fault::Silent
        || (fault == Fault::OneWay && from == link->server);
    if (isDropped) {
        link->isSilenced = true; // After a gap in the byte stream, no more bytes may be forwarded.
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (from == link->client) {
        // The client has sent its next request: a copy whose timer is still running is sent now, so
        // that the client reads it in place of the next answer. Without a next request, the timer
        // sends the copy.
        if (link->copyTimer && link->copyTimer->isActive())
            link->proxy->sendCopy(link);
        bufferevent_write_buffer(link->server, input);
    } else {
        link->proxy->forwardAnswer(link, input);
    }
    if (fault == Fault::Delay)
        bufferevent_disable(from, EV_READ);
}

void FaultProxy::forwardAnswer(Link *link, evbuffer *input)
{
    if (link->answer.empty()) {
        link->fault = faultyAnswers_ > 0 ? answerFault_ : AnswerFault();
        faultyAnswers_ -= faultyAnswers_ > 0 ? 1 : 0;
    }
    const auto size = evbuffer_get_length(input);
    link->answer.append(reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), size);
    if (link->fault.kind == AnswerFault::Kind::WithoutLength) {
        evbuffer_drain(input, size);
        forwardWithoutLength(link);
        return;
    }
    bufferevent_write_buffer(link->client, input);
    if (!isWhole(readOne(link->answer)))
        return;
    link->copy = std::exchange(link->answer, {});
    if (link->fault.kind != AnswerFault::Kind::Copy)
        return;
    if (!link->fault.isWithId)
        link->copy = withoutId(std::move(link->copy));
    link->copyTimer = std::make_unique<Timer>(loop_, [this, link] { sendCopy(link); });
    if (link->fault.delay == Duration::zero())
        sendCopy(link);
    else
        link->copyTimer->startOnce(link->fault.delay);
}

void FaultProxy::sendCopy(Link *link)
{
    link->copyTimer->stop();
    // In the middle of another answer, the copy would become part of that answer's body.
    if (!link->answer.empty())
        link->copyTimer->startOnce(kCopyRetry);
    else if (fault_ == Fault::None && !link->isSilenced)
        bufferevent_write(link->client, link->copy.data(), link->copy.size());
}

void FaultProxy::forwardWithoutLength(Link *link)
{
    if (link->answer.find(kHeadEnd) == std::string::npos)
        return;
    const auto read = readOne(link->answer);
    if (read.answers.empty())
        return;
    const auto &answer = read.answers.front();
    std::string bytes;
    if (!std::exchange(link->isHeadForwarded, true)) {
        bytes = "HTTP/1.1 " + std::to_string(answer.status) + " Some\r\n";
        for (const auto &[name, value] : answer.headers) {
            if (name != "Content-Length" && name != "Transfer-Encoding" && name != "Connection")
                bytes.append(name).append(": ").append(value).append("\r\n");
        }
        bytes += "Connection: close\r\n\r\n";
    }
    bytes += answer.body.substr(link->forwardedBodyBytes);
    link->forwardedBodyBytes = answer.body.size();
    bufferevent_write(link->client, bytes.data(), bytes.size());
    if (answer.isComplete)
        closeOnceDrained(link->server, link);
}

void FaultProxy::closeOnceDrained(bufferevent *from, Link *link)
{
    auto *const to = from == link->client ? link->server : link->client;
    bufferevent_disable(from, EV_READ);
    bufferevent_setcb(to, nullptr, &FaultProxy::onDrained, &FaultProxy::onEvent, link);
    // If the buffer is empty already, nothing would call onDrained(); this schedules the call.
    bufferevent_trigger(to, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
}

void FaultProxy::onEvent(bufferevent *from, short what, void *argument)
{
    auto *const link = static_cast<Link *>(argument);
    if ((what & BEV_EVENT_CONNECTED) != 0 || link->isSilenced)
        return;
    auto *const to = from == link->client ? link->server : link->client;
    // Without a length, only a reset tells the client that the answer is truncated.
    const bool isCut = !link->answer.empty() && link->fault.kind == AnswerFault::Kind::WithoutLength
        && !isWhole(readOne(link->answer));
    const bool isError = (what & BEV_EVENT_ERROR) != 0 || (from == link->server && isCut);
    if (isError || evbuffer_get_length(bufferevent_get_output(to)) == 0) {
        link->proxy->close(link, isError);
        return;
    }
    // Bytes already received are forwarded before the close.
    closeOnceDrained(from, link);
}

void FaultProxy::onDrained(bufferevent * /*to*/, void *argument)
{
    auto *const link = static_cast<Link *>(argument);
    link->proxy->close(link, false);
}

void FaultProxy::close(Link *link, bool isReset)
{
    for (auto *const end : { link->client, link->server }) {
        const linger withReset { isReset ? 1 : 0, 0 };
        setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &withReset, sizeof(withReset));
        bufferevent_free(end);
    }
    links_.remove_if([link](const Link &other) { return &other == link; });
}

} // namespace crocusport
