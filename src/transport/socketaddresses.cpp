#include "socketaddresses.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace crocusport {

namespace {

// Size of the kernel's queue for bursts of new connections while the loop is busy.
constexpr int kListenBacklog = 1024;

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

Result<RawSocketAddress> parseSocketAddress(const SocketAddress &address)
{
    BOOST_LEAF_AUTO(parts, splitSocketAddress(address));
    RawSocketAddress result;
    auto *const ipv4 = reinterpret_cast<sockaddr_in *>(&result.storage);
    if (inet_pton(AF_INET, parts.host.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(parts.port);
        result.size = sizeof(*ipv4);
        return result;
    }
    auto *const ipv6 = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET6, parts.host.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(parts.port);
        result.size = sizeof(*ipv6);
        return result;
    }
    return makeError(ResultCode::BadSettings, "\"" + parts.host + "\" is not an IP address");
}

Result<evconnlistener *> openListener(event_base *base, const SocketAddress &address,
                                      evconnlistener_cb callback, void *argument)
{
    const auto raw = handleErrors([&] { return parseSocketAddress(address); },
                                  [](const Error & /*error*/) { return RawSocketAddress(); });
    if (raw.size == 0)
        return makeError(ResultCode::ListenFailed,
                         "cannot listen on " + address.value() + ": not an IP address and port");
    constexpr unsigned kFlags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    auto *const listener = evconnlistener_new_bind(base, callback, argument, kFlags, kListenBacklog,
                                                   raw.get(), raw.size);
    if (!listener)
        return makeError(ResultCode::ListenFailed,
                         "cannot listen on " + address.value() + ": " + std::strerror(errno));
    return listener;
}

SocketAddress toSocketAddress(const sockaddr &address)
{
    char host[INET6_ADDRSTRLEN] = {};
    if (address.sa_family == AF_INET6) {
        const auto *const ipv6 = reinterpret_cast<const sockaddr_in6 *>(&address);
        inet_ntop(AF_INET6, &ipv6->sin6_addr, host, sizeof(host));
        return joinSocketAddress(host, ntohs(ipv6->sin6_port));
    }
    if (address.sa_family == AF_INET) {
        const auto *const ipv4 = reinterpret_cast<const sockaddr_in *>(&address);
        inet_ntop(AF_INET, &ipv4->sin_addr, host, sizeof(host));
        return joinSocketAddress(host, ntohs(ipv4->sin_port));
    }
    return {};
}

SocketAddress listenerAddress(evconnlistener *listener)
{
    sockaddr_storage storage {};
    socklen_t size = sizeof(storage);
    auto *const address = reinterpret_cast<sockaddr *>(&storage);
    if (getsockname(evconnlistener_get_fd(listener), address, &size) != 0)
        return {};
    return toSocketAddress(*address);
}

} // namespace crocusport
