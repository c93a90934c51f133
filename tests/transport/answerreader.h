#ifndef CROCUSPORT_ANSWERREADER_H
#define CROCUSPORT_ANSWERREADER_H

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusport {

//! One answer as a caller reads it.
struct ReadAnswer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isWhole = false;

    //! The value of the first field \a name, or nothing.
    std::string header(std::string_view name) const;
};

//! How a connection stands when its bytes are judged.
enum class ConnectionEnd { Open, Closed, Reset };

//! What a caller has read from one connection.
struct ReadConnection
{
    std::vector<ReadAnswer> answers; //!< Only the last one may be cut.
    std::string fault;               //!< Empty: the bytes are answers and nothing else.
};

/*!
    Reads all \a bytes of a connection on which \a requests requests were sent. Written without the
    product's parser, and strict: whatever is not a whole answer, or the beginning of one at the end
    of the bytes, is a fault, and so is an answer without a request. Thread safety: pure function.
*/
ReadConnection readAnswers(std::string_view bytes, std::size_t requests, ConnectionEnd end);

} // namespace crocusport

#endif // CROCUSPORT_ANSWERREADER_H
