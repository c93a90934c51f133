#include "responsehead.h"

#include <strings.h>

namespace crocusport {

namespace {

bool isHeader(const std::string &name, const char *expected)
{
    return strcasecmp(name.c_str(), expected) == 0;
}

} // namespace

ResponseHead readResponseHead(const HttpHeaders &headers)
{
    ResponseHead head;
    for (const auto &[name, value] : headers) {
        if (isHeader(name, "X-Not-Run"))
            head.isNotRun = value == "1";
        else if (isHeader(name, "X-Leaving"))
            head.isLeaving = value == "1";
        else if (isHeader(name, "X-Request-Id"))
            head.requestId = value;
        else if (isHeader(name, "Content-Type"))
            head.contentType = value;
    }
    return head;
}

ResponseOwner responseOwner(const ResponseHead &head, const RequestId &attempt,
                            bool isOnNewConnection)
{
    if (head.requestId.empty())
        return isOnNewConnection ? ResponseOwner::Attempt : ResponseOwner::Unknown;
    return head.requestId == attempt.value() ? ResponseOwner::Attempt : ResponseOwner::Other;
}

BackendCallEnd endForStatus(int status, const ResponseHead &head, ResponseOwner owner)
{
    if (owner == ResponseOwner::Other)
        return BackendCallEnd::Malformed;
    if (status == 503 && head.isNotRun && owner == ResponseOwner::Attempt)
        return BackendCallEnd::NotRun;
    if (status == 429 || status == 503)
        return BackendCallEnd::Overloaded;
    if (status >= 500)
        return BackendCallEnd::ServerError;
    if (status >= 400)
        return BackendCallEnd::Rejected;
    return BackendCallEnd::Completed;
}

BackendCallEnd endForFailure(const HttpCallEnd &end)
{
    switch (end.failure) {
    case HttpFailure::ConnectFailed:
        return end.isRequestSent ? BackendCallEnd::Lost : BackendCallEnd::NotRun;
    case HttpFailure::Malformed:
        return BackendCallEnd::Malformed;
    case HttpFailure::Withdrawn:
        return BackendCallEnd::NotRun;
    case HttpFailure::TooLarge:
        return BackendCallEnd::TooLarge;
    default:
        return BackendCallEnd::Lost;
    }
}

} // namespace crocusport
