#ifndef CROCUSPORT_RAWCLIENT_H
#define CROCUSPORT_RAWCLIENT_H

#include "answerreader.h"

#include "crocusport/state/identifiers.h"
#include "crocusport/transport/eventloop.h"

#include <cstddef>
#include <string>
#include <string_view>

struct bufferevent;

namespace crocusport {

//! A TCP client that sends and records raw bytes.
class RawClient
{
public:
    RawClient(EventLoop &loop, const SocketAddress &address);
    ~RawClient();

    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(std::string_view bytes);
    //! Closes the sending direction of the connection (half-close).
    void closeSending();
    //! Stops or starts reading from the socket.
    void setReading(bool isReading);

    const std::string &received() const { return received_; }
    //! Parses the bytes received so far as the responses to \a requests requests.
    ReadConnection read(std::size_t requests) const;
    bool isClosed() const { return isClosed_; }
    bool isReset() const { return isReset_; }

private:
    static void onRead(bufferevent *buffers, void *self);
    static void onEvent(bufferevent *buffers, short what, void *self);

    bufferevent *buffers_;
    std::string received_;
    bool isClosed_ = false;
    bool isReset_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_RAWCLIENT_H
