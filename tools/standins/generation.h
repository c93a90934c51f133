#ifndef CROCUSPORT_GENERATION_H
#define CROCUSPORT_GENERATION_H

#include "guardedexchange.h"

#include <cstdint>
#include <memory>
#include <string>

namespace crocusport {

//! Paused: the caller's connection is gone and the state is kept for a resume.
enum class GenerationState { Waiting, Running, Paused, Finished };

/*!
    One request that an engine has taken: what it generates, and texts of its answer. The tokens
    follow from the marker, so that any part of the answer can be sent again.

    Thread safety: none; use from one thread.
*/
class Generation
{
public:
    std::string id; //!< Value of X-Request-Id.
    std::string model;
    std::string hash;   //!< Stands for the request's marker in each token.
    std::string prompt; //!< All message texts.
    std::string body;
    std::uint32_t total = 0;
    std::uint32_t emitted = 0;
    bool isStreamed = false;
    bool isLengthLimited = false; //!< Ends at max_tokens.
    int priority = 0;
    GenerationState state = GenerationState::Waiting;
    std::uint64_t run = 0; //!< Number of the current run; tasks of former runs have another.
    std::shared_ptr<GuardedExchange> exchange;

    //! The server-sent event of token \a index (1 is the first).
    std::string tokenEvent(std::uint32_t index) const;
    //! The event with the finish reason and the count of tokens, and the end mark.
    std::string finishEvents() const;
    //! The body of an answer that is not streamed.
    std::string wholeAnswer() const;

private:
    std::string usage() const;
    std::string_view finishReason() const { return isLengthLimited ? "length" : "stop"; }
};

} // namespace crocusport

#endif // CROCUSPORT_GENERATION_H
