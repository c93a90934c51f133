#include "peernetwork_p.h"

#include "crocusport/protocol/peermessagecodec.h"
#include "crocusport/transport/eventloop.h"

#include "socketaddresses.h"

#include <event2/bufferevent.h>
#include <glog/logging.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

// Delay after a failed accept(), e.g. for lack of file descriptors, so that the loop does not spin.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
// The peer may still send on a redundant link until the better link is up on the peer's side.
// Messages sent until then arrive within this delay, after which the redundant link is closed.
constexpr Duration kRedundantLinkDelay = std::chrono::seconds(1);
// The router with the larger name closes a redundant link only after this delay, in case the router
// with the smaller name, whose task it is, has not done so.
constexpr Duration kRedundantLinkFallbackDelay = std::chrono::seconds(5);
// Maximum number of accepted connections that are not authenticated. The oldest one is closed when
// there are more, since the handshake of a real peer takes only milliseconds.
constexpr std::size_t kMaxAcceptedHandshakes = 64;

} // namespace

PeerNetwork::Private::Private(EventLoop &eventLoop, Options networkOptions,
                              Handlers networkHandlers)
    : loop(eventLoop), options(std::move(networkOptions)), handlers(std::move(networkHandlers)),
      acceptTimer(loop, [this] { evconnlistener_enable(listener); }),
      cleanUpTimer(loop, [this] { cleanUp(); })
{ }

PeerNetwork::Private::~Private()
{
    if (listener)
        evconnlistener_free(listener);
}

Result<void> PeerNetwork::Private::listen()
{
    BOOST_LEAF_ASSIGN(listener,
                      openListener(loop.base(), options.listen, &Private::onAccepted, this));
    evconnlistener_set_error_cb(listener, &Private::onAcceptError);
    constexpr std::string_view kAnyPort = ":0";
    const std::string_view own = options.self.address.value();
    if (own.empty() || (own.size() > kAnyPort.size() && own.ends_with(kAnyPort)))
        options.self.address = listenerAddress(listener);
    return {};
}

void PeerNetwork::Private::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr *address,
                                      int /*size*/, void *self)
{
    auto *const network = static_cast<Private *>(self);
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    network->addLink(PeerLink::Side::Accepted, toSocketAddress(*address), {}, socket).start();
    network->limitHandshakes();
}

void PeerNetwork::Private::onAcceptError(evconnlistener *listener, void *self)
{
    evconnlistener_disable(listener);
    static_cast<Private *>(self)->acceptTimer.startOnce(kAcceptRetryDelay);
}

PeerLink &PeerNetwork::Private::addLink(PeerLink::Side side, const SocketAddress &address,
                                        const RouterName &expected, int socket)
{
    auto *const buffers = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    CHECK(buffers) << "out of memory";
    links.push_back(
        std::make_unique<PeerLink>(*this, side, address, expected, buffers, ++eventNumber));
    return *links.back();
}

void PeerNetwork::Private::connectTo(const SocketAddress &address)
{
    const bool isKnown = std::any_of(links.begin(), links.end(), [&](const auto &link) {
        return link->isUp() ? link->peer().address == address : link->address() == address;
    });
    if (!isKnown)
        addLink(PeerLink::Side::Dialed, address, {}, -1).start();
}

void PeerNetwork::Private::dial(const SocketAddress &address, const RouterName &expected)
{
    for (const auto &link : links) {
        if (link->isUp() || link->side() != PeerLink::Side::Dialed || link->address() != address)
            continue;
        if (link->expected().value().empty())
            link->setExpected(expected);
        if (link->expected() == expected)
            return;
    }
    addLink(PeerLink::Side::Dialed, address, expected, -1).start();
}

PeerLink *PeerNetwork::Private::currentLink(const RouterName &peer) const
{
    const auto found = current.find(peer);
    return found == current.end() ? nullptr : found->second;
}

void PeerNetwork::Private::send(const RouterName &to, const SocketAddress &address,
                                const PeerMessage &message)
{
    auto encoded = encodePeerMessage(message);
    if (encoded.size() > options.maxMessageBytes || to == options.self.name) {
        LOG(ERROR) << "event=peer_message_dropped peer=" << to << " bytes=" << encoded.size();
        return;
    }
    if (auto *const link = currentLink(to)) {
        markUsed(*link);
        link->send(encoded);
        return;
    }
    queueMessage(to, std::move(encoded));
    dial(address, to);
}

void PeerNetwork::Private::queueMessage(const RouterName &to, std::string message)
{
    auto &queue = queuedMessages[to];
    queue.bytes += message.size();
    queue.messages.push_back(std::move(message));
    if (queue.bytes > options.maxBufferedBytes)
        dropQueuedMessages(to, "buffer limit exceeded while there is no link");
}

void PeerNetwork::Private::dropQueuedMessages(const RouterName &to, const char *reason)
{
    const auto found = queuedMessages.find(to);
    if (found == queuedMessages.end())
        return;
    LOG(WARNING) << "event=peer_messages_dropped peer=" << to
                 << " count=" << found->second.messages.size() << " reason=\"" << reason << '"';
    queuedMessages.erase(found);
}

void PeerNetwork::Private::closeLink(const RouterName &peer)
{
    // Closing the current link makes the next best one current, so all of them are closed.
    while (auto *const link = currentLink(peer))
        link->close("closed by this router");
}

// Whether this router should send on \a left rather than on \a right, two links to one peer.
bool PeerNetwork::Private::isBetter(const PeerLink &left, const PeerLink &right) const
{
    if (left.peer().incarnation != right.peer().incarnation)
        return left.peer().incarnation > right.peer().incarnation;
    const auto &later = left.upNumber() > right.upNumber() ? left : right;
    const auto &earlier = &later == &left ? right : left;
    const bool startedTogether = later.startNumber() < earlier.upNumber();
    if (!startedTogether || left.side() == right.side())
        return &left == &later;
    const bool isSmaller = options.self.name < left.peer().name;
    return (left.side() == PeerLink::Side::Dialed) == isSmaller;
}

PeerLink *PeerNetwork::Private::bestLink(const RouterName &peer) const
{
    PeerLink *best = nullptr;
    for (const auto &link : links) {
        if (link->isUp() && link->peer().name == peer && (!best || isBetter(*link, *best)))
            best = link.get();
    }
    return best;
}

// Makes the best link the current one and closes the others: immediately when they belong to an
// earlier incarnation of the peer, otherwise after a delay, at the end of which neither side sends
// on them any more.
void PeerNetwork::Private::chooseCurrentLink(const RouterName &peer)
{
    auto *const best = bestLink(peer);
    if (!best) {
        if (current.erase(peer) > 0)
            lostPeers.push_back(peer);
        return;
    }
    current[peer] = best;
    const bool isSmallerName = options.self.name < peer;
    std::vector<PeerLink *> outdated;
    for (const auto &link : links) {
        if (!link->isUp() || link.get() == best || link->peer().name != peer)
            continue;
        if (link->peer().incarnation < best->peer().incarnation)
            outdated.push_back(link.get());
        else
            link->scheduleRedundancyCheck(isSmallerName ? kRedundantLinkDelay
                                                        : kRedundantLinkFallbackDelay);
    }
    for (auto *const link : outdated)
        link->close("peer has restarted");
}

void PeerNetwork::Private::closeIfRedundant(PeerLink &link)
{
    if (currentLink(link.peer().name) != &link)
        link.close("redundant");
}

void PeerNetwork::Private::markUp(PeerLink &link)
{
    link.setUpNumber(++eventNumber);
    markUsed(link);
    const MemberInfo peer = link.peer();
    LOG(INFO) << "event=peer_link_up peer=" << peer.name << " address=" << link.address()
              << " dialed=" << (link.side() == PeerLink::Side::Dialed);
    const auto *const previous = currentLink(peer.name);
    const bool mustReportLinkUp = !previous || previous->peer().incarnation < peer.incarnation;
    reportLostPeers(); // A due onLinkDown for this peer must be called before its onLinkUp.
    chooseCurrentLink(peer.name);
    if (mustReportLinkUp && handlers.onLinkUp && link.isUp())
        handlers.onLinkUp(peer);

    if (!link.expected().value().empty() && link.expected() != peer.name)
        dropQueuedMessages(link.expected(), "router at the address has another name");
    const auto queue = queuedMessages.extract(peer.name);
    auto *const target = currentLink(peer.name);
    if (!queue.empty() && target) {
        for (const auto &message : queue.mapped().messages)
            target->send(message);
    }
    limitLinks(link);
}

void PeerNetwork::Private::markClosed(PeerLink &link, const std::string &reason)
{
    const bool wasUp = link.upNumber() != 0;
    LOG(INFO) << "event=peer_link_closed peer=" << (wasUp ? link.peer().name : link.expected())
              << " address=" << link.address() << " up=" << wasUp << " reason=\"" << reason << '"';
    const auto found = std::find_if(links.begin(), links.end(),
                                    [&](const auto &other) { return other.get() == &link; });
    CHECK(found != links.end());
    closedLinks.push_back(std::move(*found));
    links.erase(found);
    cleanUpTimer.startOnce(Duration::zero());
    if (wasUp) {
        chooseCurrentLink(link.peer().name);
        return;
    }
    const auto &expected = link.expected();
    const bool isStillDialing = std::any_of(links.begin(), links.end(), [&](const auto &other) {
        return !other->isUp() && other->expected() == expected;
    });
    if (!expected.value().empty() && !isStillDialing)
        dropQueuedMessages(expected, "no link could be opened");
}

void PeerNetwork::Private::deliver(PeerLink &link, PeerMessage message)
{
    markUsed(link);
    reportLostPeers();
    if (handlers.onMessage && link.isUp())
        handlers.onMessage(link.peer().name, std::move(message));
}

void PeerNetwork::Private::limitLinks(const PeerLink &newest)
{
    while (current.size() > options.maxLinks) {
        PeerLink *leastRecentlyUsed = nullptr;
        for (const auto &[peer, link] : current) {
            if (link != &newest
                && (!leastRecentlyUsed || link->lastUse() < leastRecentlyUsed->lastUse()))
                leastRecentlyUsed = link;
        }
        if (!leastRecentlyUsed)
            return;
        LOG(INFO) << "event=peer_link_evicted peer=" << leastRecentlyUsed->peer().name;
        closeLink(RouterName(leastRecentlyUsed->peer().name));
    }
}

void PeerNetwork::Private::limitHandshakes()
{
    const auto isPending = [](const auto &link) {
        return link->side() == PeerLink::Side::Accepted && !link->isUp();
    };
    // Links are in the order of their start, so the first pending one is the oldest.
    if (static_cast<std::size_t>(std::count_if(links.begin(), links.end(), isPending))
        > kMaxAcceptedHandshakes)
        (*std::find_if(links.begin(), links.end(), isPending))
            ->close("too many unauthenticated connections");
}

void PeerNetwork::Private::reportLostPeers()
{
    for (const auto &peer : std::exchange(lostPeers, {})) {
        if (handlers.onLinkDown && !currentLink(peer))
            handlers.onLinkDown(peer);
    }
}

void PeerNetwork::Private::cleanUp()
{
    closedLinks.clear();
    reportLostPeers();
}

} // namespace crocusport
