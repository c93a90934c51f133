#include "chatassembler.h"

namespace crocusport {

bool ChatAssembler::add(std::string_view chunk)
{
    auto json = nlohmann::json::parse(chunk, nullptr, false);
    if (!json.is_object())
        return false;
    const auto usage = json.find("usage");
    if (usage != json.end() && usage->is_object())
        usage_ = *usage;
    const auto choices = json.find("choices");
    if (choices == json.end() || !choices->is_array())
        return false;
    if (head_.is_null()) {
        head_ = json;
        head_.erase("choices");
    }
    if (choices->empty() || !choices->front().is_object())
        return true;
    const auto &choice = choices->front();
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && !reason->is_null())
        finishReason_ = *reason;
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object())
        return true;
    const auto content = delta->find("content");
    if (content != delta->end() && content->is_string())
        content_ += content->get_ref<const std::string &>();
    return content_.size() <= maxBytes_;
}

std::string ChatAssembler::answer() const
{
    nlohmann::json answer = head_.is_null() ? nlohmann::json::object() : head_;
    answer["object"] = "chat.completion";
    answer["choices"] = nlohmann::json::array(
        { { { "index", 0 },
            { "message", { { "role", "assistant" }, { "content", content_ } } },
            { "finish_reason", finishReason_ } } });
    if (!usage_.is_null())
        answer["usage"] = usage_;
    return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace crocusport
