#include "uploadcutter.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace crocusport {

namespace {

constexpr int kBacklog = 16;
constexpr timeval kReadTimeout { 2, 0 };

} // namespace

UploadCutter::UploadCutter(std::size_t readBytes, std::string answer, Ending ending)
    : readBytes_(readBytes), answer_(std::move(answer)), ending_(ending),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *const raw = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof(address);
    if (listener_ < 0 || bind(listener_, raw, size) != 0 || listen(listener_, kBacklog) != 0
        || getsockname(listener_, raw, &size) != 0)
        throw std::runtime_error("cannot listen on the loopback address");
    address_ = SocketAddress("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    thread_ = std::thread([this] { run(); });
}

UploadCutter::~UploadCutter()
{
    isStopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
}

void UploadCutter::run()
{
    while (!isStopping_) {
        const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &kReadTimeout, sizeof(kReadTimeout));
        answer(socket);
        ++answered_;
    }
}

void UploadCutter::answer(int socket) const
{
    std::array<char, 4096> buffer {};
    for (std::size_t read = 0; read < readBytes_;) {
        const auto got = recv(socket, buffer.data(), std::min(buffer.size(), readBytes_ - read), 0);
        if (got <= 0)
            break;
        read += static_cast<std::size_t>(got);
    }
    send(socket, answer_.data(), answer_.size(), MSG_NOSIGNAL);
    if (ending_ == Ending::FinishedReset || ending_ == Ending::Finished)
        shutdown(socket, SHUT_WR);
    while (ending_ == Ending::Finished && recv(socket, buffer.data(), buffer.size(), 0) > 0) {
    }
    if (ending_ == Ending::Reset || ending_ == Ending::FinishedReset) {
        const linger withReset { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &withReset, sizeof(withReset));
    }
    close(socket);
}

} // namespace crocusport
