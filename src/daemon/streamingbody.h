#ifndef CROCUSPORT_STREAMINGBODY_H
#define CROCUSPORT_STREAMINGBODY_H

#include <string>
#include <string_view>

namespace crocusport {

/*!
    Returns the chat completion request \a body with "stream" set to true. Precondition:
    parseChatRequest() accepted \a body. Safe from any thread.
*/
std::string withStream(std::string_view body);

} // namespace crocusport

#endif // CROCUSPORT_STREAMINGBODY_H
