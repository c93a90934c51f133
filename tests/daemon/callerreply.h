#ifndef CROCUSPORT_TESTS_CALLERREPLY_H
#define CROCUSPORT_TESTS_CALLERREPLY_H

#include "crocusport/transport/httpclient.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace crocusport {

//! A caller's view of one request.
struct CallerReply
{
    bool isEnded = false;
    HttpFailure failure = HttpFailure::None;
    int status = 0;
    std::map<std::string, std::string> headers; //!< Names in lower case.
    std::string body;
    std::unique_ptr<HttpCall> call; //!< Reset it to leave before the answer.

    //! Value of a header, by its name in lower case; empty without it.
    std::string header(const std::string &name) const;
    //! From the header, or from the last event of a stream.
    std::string outcome() const;
    //! Number of streamed token events, and whether their indexes are 1, 2, 3 and so on.
    std::size_t tokenCount() const;
    bool isTokenOrderWhole() const;
};

using CallerReplyPointer = std::shared_ptr<CallerReply>;

} // namespace crocusport

#endif // CROCUSPORT_TESTS_CALLERREPLY_H
