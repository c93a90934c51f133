#include "responseframing.h"

#include "httptext.h"

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

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
