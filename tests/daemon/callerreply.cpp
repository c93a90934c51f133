#include "callerreply.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>
#include <vector>

namespace crocusport {

namespace {

std::vector<int> eventIds(const std::string &body)
{
    std::vector<int> ids;
    static constexpr std::string_view kField = "id: ";
    std::size_t position = 0;
    while (position < body.size()) {
        if (body.compare(position, kField.size(), kField) == 0) {
            int id = 0;
            const auto *const begin = body.data() + position + kField.size();
            std::from_chars(begin, body.data() + body.size(), id);
            ids.push_back(id);
        }
        const auto end = body.find('\n', position);
        position = end == std::string::npos ? body.size() : end + 1;
    }
    return ids;
}

} // namespace

std::string CallerReply::header(const std::string &name) const
{
    const auto entry = headers.find(name);
    return entry == headers.end() ? "" : entry->second;
}

std::string CallerReply::outcome() const
{
    auto fromHeader = header("x-crocusport-outcome");
    if (!fromHeader.empty())
        return fromHeader;
    static constexpr std::string_view kEvent = "event: crocusport.outcome\ndata: ";
    const auto position = body.rfind(kEvent);
    if (position == std::string::npos)
        return "";
    const auto json = nlohmann::json::parse(body.substr(position + kEvent.size()), nullptr, false);
    return json.is_object() ? json.value("outcome", "") : "";
}

std::size_t CallerReply::tokenCount() const
{
    return eventIds(body).size();
}

bool CallerReply::isTokenOrderWhole() const
{
    int expected = 1;
    for (const int id : eventIds(body)) {
        if (id != expected++)
            return false;
    }
    return true;
}

} // namespace crocusport
