#include "crocusport/transport/logwriter.h"

#include <event2/util.h>

#include <unistd.h>

#include <chrono>

namespace crocusport {

namespace {

// Lines are buffered for this long and written together, which saves system calls.
constexpr Duration kFlushDelay = std::chrono::milliseconds(100);
// Large enough that a reader which is slow for a moment loses no lines; bounds the memory.
constexpr std::size_t kMaxBufferedBytes = 256UL * 1024;

std::string unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace

LogWriter::LogWriter(EventLoop &loop, int descriptor)
    : descriptor_(descriptor), timer_(loop, [this] { flush(); })
{
    evutil_make_socket_nonblocking(descriptor_);
}

LogWriter::~LogWriter()
{
    flush();
}

void LogWriter::write(std::string_view line)
{
    if (buffer_.size() + line.size() > kMaxBufferedBytes) {
        ++dropped_;
        ++droppedSinceWrite_;
        return;
    }
    const auto time = "time_ms=" + unixMilliseconds() + ' ';
    if (droppedSinceWrite_ > 0) {
        buffer_ += time + "event=log_dropped lines=" + std::to_string(droppedSinceWrite_) + '\n';
        droppedSinceWrite_ = 0;
    }
    buffer_ += time;
    buffer_ += line;
    buffer_ += '\n';
    if (!timer_.isActive())
        timer_.startOnce(kFlushDelay);
}

void LogWriter::flush()
{
    while (!buffer_.empty()) {
        const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written <= 0)
            break;
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
    if (!buffer_.empty())
        timer_.startOnce(kFlushDelay);
}

} // namespace crocusport
