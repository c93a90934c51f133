#include "crocusport/protocol/etcdcodec.h"

#include "base64.h"
#include "jsonfields.h"
#include "jsontext.h"

#include <utility>

namespace crocusport {

namespace {

struct Header
{
    StoreRevision revision = 0;
};

struct RangeReply
{
    Header header;
    std::vector<StoreEntry> kvs;
};

struct ResponseOp
{
    RangeReply range;
};

struct TxnReply
{
    Header header;
    bool isSucceeded = false;
    std::vector<ResponseOp> responses;
};

struct LeaseReply
{
    LeaseId id = 0;
    std::int64_t timeToLive = 0;
    std::string error;
};

struct WatchEvent
{
    std::string type;
    StoreEntry kv;
};

struct WatchResult
{
    Header header;
    bool isCreated = false;
    bool isCanceled = false;
    std::int64_t compactRevision = 0;
    std::string cancelReason;
    std::vector<WatchEvent> events;
};

template<typename T>
struct StreamMessage
{
    T result;
};

void describe(FieldReader &fields, Header &header)
{
    fields.decimal("revision", header.revision);
}

} // namespace

void describe(FieldReader &fields, StoreEntry &entry)
{
    fields.base64("key", entry.key);
    fields.base64("value", entry.value);
    fields.decimal("mod_revision", entry.modRevision);
}

namespace {

void describe(FieldReader &fields, RangeReply &reply)
{
    fields.defaulted("header", reply.header);
    fields.defaulted("kvs", reply.kvs);
}

void describe(FieldReader &fields, ResponseOp &response)
{
    fields.defaulted("response_range", response.range);
}

void describe(FieldReader &fields, TxnReply &reply)
{
    fields.required("header", reply.header);
    fields.defaulted("succeeded", reply.isSucceeded);
    fields.defaulted("responses", reply.responses);
}

void describe(FieldReader &fields, LeaseReply &reply)
{
    fields.decimal("ID", reply.id);
    fields.decimal("TTL", reply.timeToLive);
    fields.defaulted("error", reply.error);
}

void describe(FieldReader &fields, WatchEvent &event)
{
    fields.defaulted("type", event.type);
    fields.required("kv", event.kv);
}

void describe(FieldReader &fields, WatchResult &result)
{
    fields.defaulted("header", result.header);
    fields.defaulted("created", result.isCreated);
    fields.defaulted("canceled", result.isCanceled);
    fields.decimal("compact_revision", result.compactRevision);
    fields.defaulted("cancel_reason", result.cancelReason);
    fields.defaulted("events", result.events);
}

template<typename T>
void describe(FieldReader &fields, StreamMessage<T> &message)
{
    fields.required("result", message.result);
}

//! The error that \a json reports instead of a reply, if any.
std::optional<std::string> reportedError(const nlohmann::json &json)
{
    const auto error = json.find("error");
    if (error == json.end())
        return std::nullopt;
    // Unary calls report a text, streams an object with a message.
    if (const auto *text = error->get_ptr<const std::string *>())
        return text->empty() ? std::nullopt : std::optional(*text);
    const auto message = error->is_object() ? error->find("message") : error->end();
    const auto *text = message == error->end() || !error->is_object()
        ? nullptr
        : message->get_ptr<const std::string *>();
    return text ? *text : "unknown error";
}

template<typename Reply>
Result<Reply> parseReply(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJsonObject(body, "store reply", ResultCode::MalformedMessage));
    if (const auto error = reportedError(json))
        return makeError(ResultCode::StoreError, "store reports: " + *error);
    Reply reply;
    FieldReader reader(json);
    describe(reader, reply);
    if (!reader.error().empty())
        return makeError(ResultCode::MalformedMessage, "store reply: " + reader.error());
    return reply;
}

nlohmann::json putOf(const std::string &key, const std::string &value)
{
    return { { "key", toBase64(key) }, { "value", toBase64(value) } };
}

} // namespace

std::string writeEtcdRange(const std::string &key)
{
    return writeJson({ { "key", toBase64(key) } });
}

Result<EtcdRangeReply> parseEtcdRange(std::string_view body)
{
    BOOST_LEAF_AUTO(reply, parseReply<RangeReply>(body));
    return EtcdRangeReply { reply.header.revision, std::move(reply.kvs) };
}

std::string writeEtcdPut(const std::string &key, const std::string &value)
{
    return writeJson(putOf(key, value));
}

std::string writeEtcdCompareAndSwap(const CompareAndSwap &swap)
{
    auto put = putOf(swap.key, swap.value);
    if (swap.lease)
        put["lease"] = std::to_string(*swap.lease);
    const auto key = toBase64(swap.key);
    const nlohmann::json compare { { "key", key },
                                   { "target", "MOD" },
                                   { "result", "EQUAL" },
                                   { "mod_revision", std::to_string(swap.expectedRevision) } };
    auto compares = nlohmann::json::array({ compare });
    if (swap.expectedValue)
        compares.push_back({ { "key", key },
                             { "target", "VALUE" },
                             { "result", "EQUAL" },
                             { "value", toBase64(*swap.expectedValue) } });
    const nlohmann::json success { { "request_put", put } };
    const nlohmann::json failure { { "request_range", { { "key", key } } } };
    return writeJson({ { "compare", std::move(compares) },
                       { "success", nlohmann::json::array({ success }) },
                       { "failure", nlohmann::json::array({ failure }) } });
}

Result<SwapReply> parseEtcdCompareAndSwap(std::string_view body)
{
    BOOST_LEAF_AUTO(reply, parseReply<TxnReply>(body));
    SwapReply result { reply.isSucceeded, reply.header.revision, std::nullopt };
    if (reply.isSucceeded)
        return result;
    // Without it, a cut reply could pass for the answer that the key does not exist.
    if (reply.responses.empty())
        return makeError(ResultCode::MalformedMessage, "store reply: responses are missing");
    auto &entries = reply.responses.front().range.kvs;
    if (!entries.empty())
        result.current = std::move(entries.front());
    return result;
}

std::string writeEtcdLeaseGrant(std::chrono::seconds timeToLive)
{
    return writeJson({ { "TTL", std::to_string(timeToLive.count()) }, { "ID", "0" } });
}

Result<LeaseId> parseEtcdLeaseGrant(std::string_view body)
{
    BOOST_LEAF_AUTO(reply, parseReply<LeaseReply>(body));
    if (reply.id == 0)
        return makeError(ResultCode::MalformedMessage, "store reply: ID is missing");
    return reply.id;
}

std::string writeEtcdLeaseKeepAlive(LeaseId lease)
{
    return writeJson({ { "ID", std::to_string(lease) } });
}

Result<LeaseId> parseEtcdLeaseKeepAlive(std::string_view body)
{
    BOOST_LEAF_AUTO(message, parseReply<StreamMessage<LeaseReply>>(body));
    if (message.result.timeToLive <= 0)
        return makeError(ResultCode::NotFound, "the lease has expired");
    return message.result.id;
}

std::string writeEtcdWatch(const std::string &key, StoreRevision startRevision)
{
    nlohmann::json create { { "key", toBase64(key) } };
    if (startRevision > 0)
        create["start_revision"] = std::to_string(startRevision);
    return writeJson({ { "create_request", create } });
}

Result<EtcdWatchReply> parseEtcdWatch(std::string_view line)
{
    BOOST_LEAF_AUTO(message, parseReply<StreamMessage<WatchResult>>(line));
    auto &result = message.result;
    if (result.isCanceled || result.compactRevision > 0)
        return makeError(
            ResultCode::StoreError,
            "store has ended the watch: "
                + (result.compactRevision > 0 ? "revision is compacted" : result.cancelReason));
    EtcdWatchReply reply { result.header.revision, result.isCreated, {} };
    for (auto &event : result.events) {
        auto &entry = reply.events.emplace_back(EtcdEvent { event.kv.key, std::nullopt });
        if (event.type.empty() || event.type == "PUT")
            entry.entry = std::move(event.kv);
        else if (event.type != "DELETE")
            return makeError(ResultCode::MalformedMessage, "store reply: unknown type of event");
    }
    return reply;
}

} // namespace crocusport
