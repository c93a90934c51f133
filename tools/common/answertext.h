#ifndef CROCUSPORT_ANSWERTEXT_H
#define CROCUSPORT_ANSWERTEXT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusport {

/*!
    Returns the marker in \a text: the name that follows the word "marker", as in "marker:abc-1" or
    "\"marker\":\"abc-1\"". Empty when there is none. Safe from any thread.
*/
std::string markerOf(std::string_view text);

//! Returns 8 hex digits that stand for \a marker in answers. Safe from any thread.
std::string markerHash(std::string_view marker);

/*!
    Appends token \a index (1 is the first) of the answer to the request with \a hash. A caller that
    knows the marker can tell from each token whose answer it is and whether one is missing.
    Safe from any thread.
*/
void appendAnswerToken(std::string &text, std::string_view hash, std::uint32_t index);

} // namespace crocusport

#endif // CROCUSPORT_ANSWERTEXT_H
