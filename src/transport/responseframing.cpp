#include "responseframing.h"

#include "httptext.h"

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <cstring>
#include <limits>
#include <string_view>

namespace crocusport {

ResponseFraming responseFraming(evhttp_request *request)
{
    const int status = evhttp_request_get_response_code(request);
    if (status < 200 || status > 599)
        return ResponseFraming::Malformed;
    int lengths = 0;
    int encodings = 0;
    const auto *const headers = evhttp_request_get_input_headers(request);
    for (const auto *header = headers->tqh_first; header; header = header->next.tqe_next) {
        if (isEqualIgnoringCase(header->key, "Content-Length")) {
            ++lengths;
            const std::string_view value = header->value;
            if (value.empty() || value.find_first_not_of("0123456789") != std::string_view::npos)
                return ResponseFraming::Malformed;
        } else if (isEqualIgnoringCase(header->key, "Transfer-Encoding")) {
            ++encodings;
            if (!isEqualIgnoringCase(header->value, "chunked"))
                return ResponseFraming::Malformed;
        }
    }
    if (lengths + encodings > 1)
        return ResponseFraming::Malformed;
    if (lengths + encodings == 1 || status == 204 || status == 304
        || evhttp_request_get_command(request) == EVHTTP_REQ_HEAD)
        return ResponseFraming::Delimited;
    return ResponseFraming::UntilClose;
}

std::uint64_t contentLength(evhttp_request *request)
{
    const char *const text =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Content-Length");
    if (!text)
        return 0;
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(text, text + std::strlen(text), length);
    // responseFraming() has checked for digits only. evhttp would take the largest number it knows.
    return parsed.ec == std::errc() ? length : std::numeric_limits<std::uint64_t>::max();
}

bool allowsReuse(evhttp_request *request)
{
    // HTTP/1.0 servers close after each response unless they say otherwise.
    if (request->major != 1 || request->minor < 1)
        return false;
    const auto *const headers = evhttp_request_get_input_headers(request);
    for (const auto *header = headers->tqh_first; header; header = header->next.tqe_next) {
        if (isEqualIgnoringCase(header->key, "Connection")
            && listContainsToken(header->value, "close"))
            return false;
    }
    return true;
}

} // namespace crocusport
