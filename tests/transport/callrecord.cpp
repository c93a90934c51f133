#include "callrecord.h"

namespace crocusport {

HttpCallHandlers CallRecord::handlers()
{
    HttpCallHandlers result;
    result.onHead = [this](int received, const HttpHeaders &receivedHeaders) {
        status = received;
        headers = receivedHeaders;
    };
    result.onBody = [this](std::string_view data) { body += data; };
    result.onEnd = [this](const HttpCallEnd &received) {
        end = received;
        ++endCount;
    };
    return result;
}

} // namespace crocusport
