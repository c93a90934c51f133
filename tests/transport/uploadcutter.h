#ifndef CROCUSPORT_UPLOADCUTTER_H
#define CROCUSPORT_UPLOADCUTTER_H

#include "crocusport/state/identifiers.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace crocusport {

/*!
    A server that reads a part of each request, sends the same bytes, and ends the connection. It
    runs on a thread of its own, so that its client is still writing when the connection ends.

    Thread safety: construct, query and destroy on one thread.
*/
class UploadCutter
{
public:
    enum class Ending {
        Reset,         //!< Resets the connection.
        Close,         //!< Closes it; the kernel resets it if there are unread bytes.
        FinishedReset, //!< Ends the sending direction first, as after a complete response.
        Finished,      //!< Ends the sending direction, reads the rest, and closes.
    };

    //! Reads \a readBytes of each request before it sends \a answer.
    UploadCutter(std::size_t readBytes, std::string answer, Ending ending);
    ~UploadCutter();

    UploadCutter(const UploadCutter &) = delete;
    UploadCutter &operator=(const UploadCutter &) = delete;

    const SocketAddress &address() const { return address_; }
    //! Connections whose requests were answered so far.
    int answered() const { return answered_; }

private:
    void run();
    void answer(int socket) const;

    std::size_t readBytes_;
    std::string answer_;
    Ending ending_;
    int listener_;
    SocketAddress address_;
    std::atomic<int> answered_ = 0;
    std::atomic<bool> isStopping_ = false;
    std::thread thread_;
};

} // namespace crocusport

#endif // CROCUSPORT_UPLOADCUTTER_H
