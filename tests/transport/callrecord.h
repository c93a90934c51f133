#ifndef CROCUSPORT_CALLRECORD_H
#define CROCUSPORT_CALLRECORD_H

#include "crocusport/transport/httpclient.h"

#include <optional>
#include <string>

namespace crocusport {

//! Records what the handlers of one call receive. Must outlive the call.
struct CallRecord
{
    HttpCallHandlers handlers();

    int status = 0;
    HttpHeaders headers;
    std::string body;
    std::optional<HttpCallEnd> end;
    int endCount = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_CALLRECORD_H
