#include "answercheck.h"

#include <charconv>

namespace crocusport {

void AnswerCheck::addText(std::string_view text)
{
    while (!text.empty()) {
        const auto end = text.find(' ');
        if (end == std::string_view::npos) {
            rest_.append(text);
            return;
        }
        if (rest_.empty()) {
            addToken(text.substr(0, end));
        } else {
            rest_.append(text.substr(0, end));
            addToken(rest_);
            rest_.clear();
        }
        text.remove_prefix(end + 1);
    }
}

void AnswerCheck::addToken(std::string_view token)
{
    const auto colon = token.find(':');
    std::uint32_t index = 0;
    const bool isNumber = colon != std::string_view::npos
        && std::from_chars(token.data() + colon + 1, token.data() + token.size(), index).ec
            == std::errc();
    ++tokens_;
    if (isNumber && token.substr(0, colon) != hash_)
        isForeign_ = true;
    else if (!isNumber || index != tokens_)
        isWrong_ = true;
}

AnswerVerdict AnswerCheck::verdict() const
{
    if (isForeign_)
        return AnswerVerdict::Foreign;
    if (isWrong_)
        return AnswerVerdict::Wrong;
    if (!rest_.empty() || tokens_ != expected_ || claimed_ != tokens_)
        return AnswerVerdict::Incomplete;
    return AnswerVerdict::Whole;
}

} // namespace crocusport
