#ifndef CROCUSPORT_LOGWRITER_H
#define CROCUSPORT_LOGWRITER_H

#include "crocusport/transport/timer.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusport {

/*!
    Writes log lines to a descriptor without ever blocking on it. What does not fit into the buffer
    is dropped and counted; the next line that fits tells how many lines are missing.

    Thread safety: loop thread only.
*/
class LogWriter
{
public:
    //! Sets \a descriptor to non-blocking.
    LogWriter(EventLoop &loop, int descriptor);
    //! Writes what the descriptor takes.
    ~LogWriter();

    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    //! Adds \a line, with the time of day in front.
    void write(std::string_view line);
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
