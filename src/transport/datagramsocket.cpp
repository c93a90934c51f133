#include "crocusport/transport/datagramsocket.h"

#include "crocusport/transport/callbackguard.h"
#include "crocusport/transport/eventloop.h"

#include "socketaddresses.h"

#include <event2/event.h>
#include <event2/util.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace crocusport {

namespace {

constexpr std::size_t kMaxDatagramBytes = 65'536;
// Maximum number of datagrams read in one callback, so that a flood of datagrams does not block the
// event loop.
constexpr int kMaxReadsPerCallback = 64;

} // namespace

Result<std::unique_ptr<DatagramSocket>>
DatagramSocket::create(EventLoop &loop, const SocketAddress &address, Handler onDatagram)
{
    BOOST_LEAF_AUTO(raw, parseSocketAddress(address));
    std::unique_ptr<DatagramSocket> created(new DatagramSocket);
    created->onDatagram_ = std::move(onDatagram);
    created->socket_ = socket(raw.get()->sa_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_storage bound {};
    socklen_t size = sizeof(bound);
    auto *const boundAddress = reinterpret_cast<sockaddr *>(&bound);
    if (created->socket_ < 0 || evutil_make_socket_nonblocking(created->socket_) != 0
        || bind(created->socket_, raw.get(), static_cast<socklen_t>(raw.size)) != 0
        || getsockname(created->socket_, boundAddress, &size) != 0)
        return makeError(ResultCode::ListenFailed,
                         "cannot receive datagrams on " + address.value() + ": "
                             + std::strerror(errno));
    created->address_ = toSocketAddress(*boundAddress);
    created->event_ = event_new(loop.base(), created->socket_, EV_READ | EV_PERSIST,
                                &DatagramSocket::onReadable, created.get());
    event_add(created->event_, nullptr);
    return created;
}

DatagramSocket::~DatagramSocket()
{
    if (event_)
        event_free(event_);
    if (socket_ >= 0)
        close(socket_);
}

void DatagramSocket::send(const SocketAddress &to, std::string_view datagram)
{
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(raw, parseSocketAddress(to));
            // Users must expect lost datagrams anyway, so a failed send is ignored.
            static_cast<void>(sendto(socket_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                                     raw.get(), static_cast<socklen_t>(raw.size)));
            return {};
        },
        [](const Error & /*Not an IP address and port.*/) {});
}

void DatagramSocket::onReadable(int socket, short /*what*/, void *self)
{
    static std::array<char, kMaxDatagramBytes> buffer;
    auto *const receiver = static_cast<DatagramSocket *>(self);
    for (int i = 0; i < kMaxReadsPerCallback; ++i) {
        const auto size = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0)
            return;
        guardCallback("datagram", [&] {
            receiver->onDatagram_({ buffer.data(), static_cast<std::size_t>(size) });
        });
    }
}

} // namespace crocusport
