#include "streamingbody.h"

#include <nlohmann/json.hpp>

#include <cassert>

namespace crocusport {

std::string withStream(std::string_view body)
{
    auto json = nlohmann::ordered_json::parse(body, nullptr, false);
    assert(json.is_object());
    json["stream"] = true;
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace crocusport
