#ifndef CROCUSPORT_WEBSOCKETENDPOINT_H
#define CROCUSPORT_WEBSOCKETENDPOINT_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crocusport {

/*!
    One side of a WebSocket connection (RFC 6455) as a codec: bytes from the socket go in, bytes for
    the socket and whole binary messages come out. Compiled as C++17, since websocketpp 0.8.2 does
    not compile as C++20 with g++ 12; this header therefore uses plain types only.

    Thread safety: loop thread only. Handlers run inside the calls below and must not destroy the
    endpoint.
*/
class WebSocketEndpoint
{
public:
    enum class Role { Client, Server };

    struct Handlers
    {
        std::function<void(std::string_view bytes)> onOutput;
        std::function<void()> onOpen;
        std::function<void(std::string message)> onMessage;
        std::function<void(std::string reason)> onClosed; //!< Also for malformed input.
    };

    //! \a host is the Host header of a client's handshake.
    WebSocketEndpoint(Role role, const std::string &host, std::size_t maxMessageBytes,
                      const Handlers &handlers);
    ~WebSocketEndpoint();

    WebSocketEndpoint(const WebSocketEndpoint &) = delete;
    WebSocketEndpoint &operator=(const WebSocketEndpoint &) = delete;

    //! Starts the handshake. Precondition: called once, before any other method.
    void start();
    //! Feeds bytes from the socket. Returns false when the connection must be closed.
    bool receive(std::string_view bytes);
    //! Sends a binary message. Precondition: onOpen has run.
    void send(std::string_view message);
    void close(const std::string &reason);

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace crocusport

#endif // CROCUSPORT_WEBSOCKETENDPOINT_H
