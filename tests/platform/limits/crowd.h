#ifndef CROCUSPORT_CROWD_H
#define CROCUSPORT_CROWD_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

//! What the clients of a crowd do. Names: see kCrowdNames in crowd.cpp.
enum class CrowdKind { Bodies, Pieces, Chunks, Oversized, Fields, Pipelined, Unread, Slow, Heads };

//! Returns the kind called \a name; throws std::invalid_argument if there is none.
CrowdKind crowdKind(std::string_view name);

/*!
    Clients outside the limits: all connect, send the same bytes, never read, and stay connected
    until the destructor. Uses blocking calls.

    Thread safety: none; use from one thread.
*/
class Crowd
{
public:
    //! \a target and \a headers are those of each request, on the port \a port of 127.0.0.1.
    Crowd(CrowdKind kind, std::uint16_t port, const std::string &target,
          const std::string &headers);
    ~Crowd();

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    //! Sends until all bytes are sent, or the gateway has taken none for one second. Clients whose
    //! connection the gateway closes stop sending.
    void send();

private:
    struct Client
    {
        int socket = -1;
        std::size_t sent = 0;
    };

    std::string bytes(const std::string &target, const std::string &headers) const;
    bool sendPiece(Client &client) const;

    CrowdKind kind_;
    std::string bytes_;          //!< What each client sends.
    std::size_t pieceBytes_ = 0; //!< Most bytes of one call of send().
    std::chrono::milliseconds pause_ {};
    std::vector<Client> clients_;
};

//! Connects to the port \a port of 127.0.0.1. Returns the socket, or -1.
int connectLocally(std::uint16_t port);

} // namespace crocusport

#endif // CROCUSPORT_CROWD_H
