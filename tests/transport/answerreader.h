#ifndef CROCUSPORT_ANSWERREADER_H
#define CROCUSPORT_ANSWERREADER_H

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusport {

//! One response as a caller receives it.
struct ReadAnswer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete = false; //!< Whether the end of the response was received.

    //! Returns the value of the first header \a name; empty if there is none.
    std::string header(std::string_view name) const;
};

//! State of a connection after its bytes have been received.
enum class ConnectionEnd { Open, Closed, Reset };

//! The responses that a caller has received on one connection.
struct ReadConnection
{
    std::vector<ReadAnswer> answers; //!< Only the last one may be incomplete.
    std::string fault;               //!< Why the bytes are not valid responses; empty if valid.
};

/*!
    Parses all \a bytes received on a connection on which \a requests requests were sent. Does not
    use the parser of the router, and is strict: the bytes must be complete responses, of which only
    the last one may be incomplete, and there must not be more responses than requests. Anything
    else is a fault.

    Thread safety: pure function.
*/
ReadConnection readAnswers(std::string_view bytes, std::size_t requests, ConnectionEnd end);

} // namespace crocusport

#endif // CROCUSPORT_ANSWERREADER_H
