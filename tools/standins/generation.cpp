#include "generation.h"

#include "../common/answertext.h"

#include <nlohmann/json.hpp>

namespace crocusport {

namespace {

// About four characters make a token in common tokenizers.
constexpr std::size_t kCharactersPerToken = 4;

std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string Generation::tokenEvent(std::uint32_t index) const
{
    std::string event = "id: " + std::to_string(index) + "\ndata: {\"id\":" + quoted(id)
        + R"(,"object":"chat.completion.chunk","created":0,"model":)" + quoted(model)
        + R"(,"choices":[{"index":0,"delta":{"content":")";
    appendAnswerToken(event, hash, index);
    event += "\"},\"finish_reason\":null}]}\n\n";
    return event;
}

std::string Generation::finishEvents() const
{
    std::string events = "id: " + std::to_string(total + 1) + "\ndata: {\"id\":" + quoted(id)
        + R"(,"object":"chat.completion.chunk","created":0,"model":)" + quoted(model)
        + R"(,"choices":[{"index":0,"delta":{},"finish_reason":")";
    events += finishReason();
    events += "\"}],\"usage\":" + usage() + "}\n\n";
    events += "id: " + std::to_string(total + 2) + "\ndata: [DONE]\n\n";
    return events;
}

std::string Generation::wholeAnswer() const
{
    std::string answer = R"({"id":)" + quoted(id)
        + R"(,"object":"chat.completion","created":0,"model":)" + quoted(model)
        + R"(,"choices":[{"index":0,"message":{"role":"assistant","content":")";
    for (std::uint32_t index = 1; index <= total; ++index)
        appendAnswerToken(answer, hash, index);
    answer += "\"},\"finish_reason\":\"";
    answer += finishReason();
    answer += "\"}],\"usage\":" + usage() + "}";
    return answer;
}

std::string Generation::usage() const
{
    const auto promptTokens = prompt.size() / kCharactersPerToken;
    return R"({"prompt_tokens":)" + std::to_string(promptTokens) + R"(,"completion_tokens":)"
        + std::to_string(total) + R"(,"total_tokens":)" + std::to_string(promptTokens + total)
        + "}";
}

} // namespace crocusport
