#ifndef CROCUSPORT_CHATASSEMBLER_H
#define CROCUSPORT_CHATASSEMBLER_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace crocusport {

/*!
    Builds the answer to a chat completion request that did not ask for a stream from the chunks of
    one that does. Engines are always asked for a stream, since only a stream shows progress and can
    be resumed.

    Thread safety: none.
*/
class ChatAssembler
{
public:
    explicit ChatAssembler(std::size_t maxBytes) : maxBytes_(maxBytes) { }

    //! Adds a chunk object's text. Returns false when it is not a chunk or the answer is too large.
    bool add(std::string_view chunk);
    std::size_t contentBytes() const { return content_.size(); }
    //! The chat completion object as JSON text.
    std::string answer() const;

private:
    std::size_t maxBytes_;
    std::string content_;
    nlohmann::json head_;
    nlohmann::json finishReason_;
    nlohmann::json usage_;
};

} // namespace crocusport

#endif // CROCUSPORT_CHATASSEMBLER_H
