#ifndef CROCUSPORT_STOREGATEWAY_H
#define CROCUSPORT_STOREGATEWAY_H

#include "keyvaluestate.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace crocusport {

//! How a call of the gateway counts.
enum class StoreCallKind { Read, Write, Watch, Unknown };

/*!
    The JSON of the etcd v3 gateway over a KeyValueState: base64 keys and values, 64-bit numbers as
    strings, fields with default values left out (the protobuf JSON mapping). Pure.

    Thread safety: none; use from one thread.
*/
class StoreGateway
{
public:
    struct Reply
    {
        int status = 200;
        nlohmann::json body;
    };

    static StoreCallKind kindOf(std::string_view path);

    //! Runs the call; watches are not among these.
    Reply call(std::string_view path, const nlohmann::json &request, Instant now);
    nlohmann::json header() const;
    //! The message that tells a watcher of \a events.
    nlohmann::json watchMessage(const std::vector<StoreEvent> &events) const;
    static Reply error(int status, int grpcCode, const std::string &message);

    KeyValueState &state() { return state_; }

    //! Reads a base64 field; empty when it is missing or malformed.
    static std::string bytesField(const nlohmann::json &object, const char *name,
                                  const char *camelName = nullptr);
    //! Reads a 64-bit field that is a string or a number; 0 when it is missing or malformed.
    static std::int64_t numberField(const nlohmann::json &object, const char *name,
                                    const char *camelName = nullptr);

private:
    Reply range(const nlohmann::json &request) const;
    Reply put(const nlohmann::json &request);
    Reply deleteRange(const nlohmann::json &request);
    Reply transaction(const nlohmann::json &request);
    Reply lease(std::string_view operation, const nlohmann::json &request, Instant now);
    bool isTrue(const nlohmann::json &compare) const;
    nlohmann::json runOperation(const nlohmann::json &operation);

    KeyValueState state_;
};

} // namespace crocusport

#endif // CROCUSPORT_STOREGATEWAY_H
