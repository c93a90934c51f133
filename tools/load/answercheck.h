#ifndef CROCUSPORT_ANSWERCHECK_H
#define CROCUSPORT_ANSWERCHECK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusport {

//! What is wrong with an answer. Foreign: it has a token of another request's answer.
enum class AnswerVerdict { Whole, Incomplete, Wrong, Foreign };

/*!
    Checks that an engine's answer is whole and belongs to the request with the given marker hash.

    Thread safety: none; use from one thread.
*/
class AnswerCheck
{
public:
    AnswerCheck(std::string hash, std::uint32_t expectedTokens)
        : hash_(std::move(hash)), expected_(expectedTokens)
    { }

    //! Takes the next text of the answer; tokens may be split between two texts.
    void addText(std::string_view text);
    //! Takes the number of tokens that the answer says it has.
    void setClaimedCount(std::uint32_t count) { claimed_ = count; }
    AnswerVerdict verdict() const;
    std::uint32_t tokens() const { return tokens_; }

private:
    void addToken(std::string_view token);

    std::string hash_;
    std::uint32_t expected_;
    std::uint32_t tokens_ = 0;
    std::uint32_t claimed_ = 0;
    std::string rest_; //!< A token whose end has not arrived yet.
    bool isForeign_ = false;
    bool isWrong_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_ANSWERCHECK_H
