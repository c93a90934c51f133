#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <thread>

namespace crocusport {

namespace {

constexpr std::string_view kCrowdNames[] = { "bodies",    "pieces", "chunks", "oversized", "fields",
                                             "pipelined", "unread", "slow",   "heads" };

constexpr std::size_t kMiB = 1024UL * 1024;
constexpr std::size_t kPiece = 1000;
// The crowd and the bounds of main.cpp are fixed; a change of the product must not change them.
constexpr std::size_t kSenders = 40;
constexpr std::size_t kFieldSenders = 200;
constexpr std::size_t kSlowClients = 300; // As many as the descriptors that the settings allow.
constexpr int kFields = 1700;             // About 15 kB, inside the limit of a head.
constexpr int kPipelinedRequests = 400;
constexpr int kLargeAnswers = 4;
constexpr std::size_t kHalfHead = 8000;
constexpr std::size_t kSlowBytes = 40;
constexpr std::chrono::milliseconds kSlowPause(100);
constexpr std::chrono::seconds kStallTime(1);

std::size_t clientCount(CrowdKind kind)
{
    if (kind == CrowdKind::Slow || kind == CrowdKind::Heads)
        return kSlowClients;
    return kind == CrowdKind::Fields ? kFieldSenders : kSenders;
}

std::string withLength(const std::string &head, std::size_t length)
{
    return head + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i)
        all += text;
    return all;
}

} // namespace

CrowdKind crowdKind(std::string_view name)
{
    const auto *const found = std::find(std::begin(kCrowdNames), std::end(kCrowdNames), name);
    if (found == std::end(kCrowdNames))
        throw std::invalid_argument("no such crowd: " + std::string(name));
    return static_cast<CrowdKind>(found - std::begin(kCrowdNames));
}

int connectLocally(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return connection;
    close(connection);
    return -1;
}

Crowd::Crowd(CrowdKind kind, std::uint16_t port, const std::string &target,
             const std::string &headers)
    : kind_(kind), bytes_(bytes(target, headers)), clients_(clientCount(kind))
{
    pieceBytes_ = kind == CrowdKind::Pieces ? kPiece : bytes_.size();
    if (kind == CrowdKind::Slow) {
        pieceBytes_ = 1;
        pause_ = kSlowPause;
    }
    for (auto &client : clients_)
        client.socket = connectLocally(port);
}

Crowd::~Crowd()
{
    for (const auto &client : clients_) {
        if (client.socket >= 0)
            close(client.socket);
    }
}

std::string Crowd::bytes(const std::string &target, const std::string &headers) const
{
    const auto post = "POST " + target + " HTTP/1.1\r\n" + headers;
    switch (kind_) {
    case CrowdKind::Bodies:
    case CrowdKind::Pieces:
        return withLength(post, kMiB) + std::string(kMiB - 1, 'x');
    case CrowdKind::Chunks:
        return post + "Transfer-Encoding: chunked\r\n\r\n"
            + repeated("3e8\r\n" + std::string(kPiece, 'x') + "\r\n", kMiB / kPiece);
    case CrowdKind::Oversized:
        return withLength(post, 64 * kMiB) + std::string(kMiB, 'x');
    case CrowdKind::Fields:
        return withLength(post + repeated("ab: c\r\n", kFields), 2) + "x";
    case CrowdKind::Pipelined:
        return repeated(withLength(post, kPiece) + std::string(kPiece, 'x'), kPipelinedRequests);
    case CrowdKind::Unread:
        return repeated("GET " + target + "large HTTP/1.1\r\n" + headers + "\r\n", kLargeAnswers);
    case CrowdKind::Slow:
        return withLength(post, kMiB) + std::string(kSlowBytes, 'x');
    case CrowdKind::Heads:
        return (post + "Field: " + std::string(kHalfHead, 'x')).substr(0, kHalfHead);
    }
    return {};
}

bool Crowd::sendPiece(Client &client) const
{
    if (client.socket < 0 || client.sent == bytes_.size())
        return false;
    const auto size = std::min(pieceBytes_, bytes_.size() - client.sent);
    const auto written =
        ::send(client.socket, bytes_.data() + client.sent, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (written > 0) {
        client.sent += static_cast<std::size_t>(written);
        return true;
    }
    if (errno != EAGAIN) {
        close(client.socket);
        client.socket = -1;
    }
    return false;
}

void Crowd::send()
{
    // The head of a slow sender is sent at once, so that the crowd is in its body when it is slow.
    if (kind_ == CrowdKind::Slow) {
        for (auto &client : clients_) {
            const auto head = bytes_.size() - kSlowBytes;
            if (client.socket >= 0 && ::send(client.socket, bytes_.data(), head, MSG_NOSIGNAL) > 0)
                client.sent = head;
        }
    }
    auto lastProgress = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - lastProgress < kStallTime) {
        bool isSent = false;
        for (auto &client : clients_)
            isSent = sendPiece(client) || isSent;
        if (isSent)
            lastProgress = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(isSent ? pause_ : std::chrono::milliseconds(5));
    }
}

} // namespace crocusport
