#include "httpmessage.h"

#include "httptext.h"

#include <boost/beast/http/status.hpp>

#include <event2/buffer.h>

#include <charconv>

namespace crocusport {

HeadScan scanHead(evbuffer *buffer, std::size_t scanned)
{
    HeadScan scan;
    const auto length = evbuffer_get_length(buffer);
    const auto *const bytes =
        reinterpret_cast<const char *>(evbuffer_pullup(buffer, static_cast<ev_ssize_t>(length)));
    if (!bytes)
        return scan;
    const std::string_view text(bytes, length);
    // The end of the head, "\r\n\r\n", may have been received in part: at most three of its bytes
    // are among those that were searched before.
    constexpr std::size_t kEndOverlap = 3;
    auto position = scanned > kEndOverlap ? scanned - kEndOverlap : 0;
    while ((position = text.find('\n', position)) != std::string_view::npos) {
        if (position == 0 || text[position - 1] != '\r') {
            scan.state = HeadScan::State::Malformed;
            return scan;
        }
        const auto next = position + 1;
        if (next < length && (text[next] == ' ' || text[next] == '\t')) {
            scan.state = HeadScan::State::Malformed;
            return scan;
        }
        if (text.substr(next, 2) == "\r\n") {
            scan.state = HeadScan::State::Complete;
            scan.size = next + 2;
            return scan;
        }
        position = next;
    }
    return scan;
}

BodyFraming bodyFraming(const HttpHeaders &headers)
{
    int lengths = 0;
    int codings = 0;
    for (const auto &[name, value] : headers) {
        if (isEqualIgnoringCase(name, "Content-Length")) {
            ++lengths;
            if (value.empty() || value.find_first_not_of("0123456789") != std::string::npos)
                return BodyFraming::Malformed;
        } else if (isEqualIgnoringCase(name, "Transfer-Encoding")) {
            ++codings;
            if (!isEqualIgnoringCase(value, "chunked"))
                return BodyFraming::Malformed;
        }
    }
    if (lengths + codings > 1)
        return BodyFraming::Malformed;
    return lengths + codings == 1 ? BodyFraming::Delimited : BodyFraming::None;
}

HttpHeaders copyFields(const boost::beast::http::fields &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (isEqualIgnoringCase(key, name))
            return &value;
    }
    return nullptr;
}

bool allowsKeepAlive(const HttpHeaders &headers, unsigned version)
{
    constexpr unsigned kHttp11 = 11;
    bool isKeptAlive = false;
    for (const auto &[name, value] : headers) {
        if (!isEqualIgnoringCase(name, "Connection"))
            continue;
        if (listContainsToken(value, "close"))
            return false;
        isKeptAlive = isKeptAlive || listContainsToken(value, "keep-alive");
    }
    return version >= kHttp11 || isKeptAlive;
}

std::optional<int> keepAliveTimeout(const HttpHeaders &headers)
{
    static constexpr std::string_view kTimeout = "timeout=";
    const auto *const value = findHeader(headers, "Keep-Alive");
    const auto position = value ? value->find(kTimeout) : std::string::npos;
    if (position == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const char *const begin = value->data() + position + kTimeout.size();
    const auto parsed = std::from_chars(begin, value->data() + value->size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return seconds;
}

std::string_view reasonPhrase(int status)
{
    const auto reason = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(static_cast<unsigned>(status)));
    return { reason.data(), reason.size() };
}

} // namespace crocusport
