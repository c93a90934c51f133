#ifndef CROCUSPORT_LOGWRITER_H
#define CROCUSPORT_LOGWRITER_H

#include "crocusport/transport/timer.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusport {

/*!
    Writes log lines to a file descriptor without blocking. Lines that do not fit into the buffer
    are dropped and counted; their number is logged before the next line that fits.

    Thread safety: loop thread only.
*/
class LogWriter
{
public:
    //! Sets \a descriptor to non-blocking.
    LogWriter(EventLoop &loop, int descriptor);
    //! Writes as much of the buffer as the descriptor accepts without blocking.
    ~LogWriter();

    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    //! Adds \a line, prefixed with the Unix time in milliseconds.
    void write(std::string_view line);
    //! Number of lines dropped since the writer was created.
    std::uint64_t droppedLines() const { return dropped_; }

private:
    void flush();

    int descriptor_;
    Timer timer_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedSinceWrite_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_LOGWRITER_H
