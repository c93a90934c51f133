#include "socketaddresses.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace crocusport {

namespace {

// Bursts of new connections wait here while the loop is busy with other events.
constexpr int kListenBacklog = 1024;

// Returns the size of the filled-in \a address, or 0 when \a parts holds no IP address.
int fillAddress(const HostAndPort &parts, sockaddr_storage &address)
{
    auto *const ipv4 = reinterpret_cast<sockaddr_in *>(&address);
    if (inet_pton(AF_INET, parts.host.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(parts.port);
        return sizeof(*ipv4);
    }
    auto *const ipv6 = reinterpret_cast<sockaddr_in6 *>(&address);
    if (inet_pton(AF_INET6, parts.host.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(parts.port);
        return sizeof(*ipv6);
    }
    return 0;
}

} // namespace

Result<HostAndPort> splitSocketAddress(const SocketAddress &address)
{
    const std::string &text = address.value();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return makeError(ResultCode::BadSettings, "address \"" + text + "\" is not ip:port");
    HostAndPort result;
    result.host = text.substr(0, colon);
    if (result.host.size() > 2 && result.host.front() == '[' && result.host.back() == ']')
        result.host = result.host.substr(1, result.host.size() - 2);
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, result.port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return makeError(ResultCode::BadSettings, "address \"" + text + "\" has a bad port");
    return result;
}

SocketAddress joinSocketAddress(const std::string &host, std::uint16_t port)
{
    const bool isIpv6 = host.find(':') != std::string::npos;
    return SocketAddress((isIpv6 ? "[" + host + "]" : host) + ":" + std::to_string(port));
}

Result<evconnlistener *> openListener(event_base *base, const SocketAddress &address,
                                      evconnlistener_cb callback, void *argument)
{
    sockaddr_storage storage {};
    const int size = handleErrors(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(parts, splitSocketAddress(address));
            return fillAddress(parts, storage);
        },
        [](const Error & /*error*/) { return 0; });
    if (size == 0)
        return makeError(ResultCode::ListenFailed,
                         "cannot listen on " + address.value() + ": not an IP address and port");
    constexpr unsigned kFlags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    auto *const listener =
        evconnlistener_new_bind(base, callback, argument, kFlags, kListenBacklog,
                                reinterpret_cast<const sockaddr *>(&storage), size);
    if (!listener)
        return makeError(ResultCode::ListenFailed,
                         "cannot listen on " + address.value() + ": " + std::strerror(errno));
    return listener;
}

SocketAddress listenerAddress(evconnlistener *listener)
{
    sockaddr_storage storage {};
    socklen_t size = sizeof(storage);
    auto *const address = reinterpret_cast<sockaddr *>(&storage);
    if (getsockname(evconnlistener_get_fd(listener), address, &size) != 0)
        return {};
    char host[INET6_ADDRSTRLEN] = {};
    if (storage.ss_family == AF_INET6) {
        const auto *const ipv6 = reinterpret_cast<const sockaddr_in6 *>(&storage);
        inet_ntop(AF_INET6, &ipv6->sin6_addr, host, sizeof(host));
        return joinSocketAddress(host, ntohs(ipv6->sin6_port));
    }
    const auto *const ipv4 = reinterpret_cast<const sockaddr_in *>(&storage);
    inet_ntop(AF_INET, &ipv4->sin_addr, host, sizeof(host));
    return joinSocketAddress(host, ntohs(ipv4->sin_port));
}

} // namespace crocusport
