#include "storegateway.h"

#include "base64.h"

#include <charconv>
#include <utility>

namespace crocusport {

namespace {

using nlohmann::json;

// Codes of google.rpc.Code.
constexpr int kInvalidArgument = 3;
constexpr int kNotFound = 5;
constexpr int kFailedPrecondition = 9;
constexpr int kUnimplemented = 12;

const json *field(const json &object, const char *name, const char *camelName)
{
    if (!object.is_object())
        return nullptr;
    if (const auto found = object.find(name); found != object.end())
        return &*found;
    if (camelName) {
        if (const auto found = object.find(camelName); found != object.end())
            return &*found;
    }
    return nullptr;
}

void setNumber(json &object, const char *name, std::int64_t value)
{
    if (value != 0)
        object[name] = std::to_string(value);
}

json entryJson(const std::string &key, const StoredValue &value)
{
    json entry = { { "key", base64Encode(key) } };
    setNumber(entry, "create_revision", value.createRevision);
    setNumber(entry, "mod_revision", value.modRevision);
    setNumber(entry, "version", value.version);
    if (!value.value.empty())
        entry["value"] = base64Encode(value.value);
    setNumber(entry, "lease", value.lease);
    return entry;
}

bool compareNumbers(std::int64_t left, std::int64_t right, const std::string &relation)
{
    if (relation == "GREATER")
        return left > right;
    if (relation == "LESS")
        return left < right;
    if (relation == "NOT_EQUAL")
        return left != right;
    return left == right;
}

} // namespace

std::string StoreGateway::bytesField(const json &object, const char *name, const char *camelName)
{
    const auto *const found = field(object, name, camelName);
    if (!found || !found->is_string())
        return {};
    return base64Decode(found->get_ref<const std::string &>()).value_or(std::string());
}

std::int64_t StoreGateway::numberField(const json &object, const char *name, const char *camelName)
{
    const auto *const found = field(object, name, camelName);
    if (!found)
        return 0;
    if (found->is_number_integer())
        return found->get<std::int64_t>();
    if (!found->is_string())
        return 0;
    const auto &text = found->get_ref<const std::string &>();
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

StoreCallKind StoreGateway::kindOf(std::string_view path)
{
    if (path == "/v3/kv/range")
        return StoreCallKind::Read;
    if (path == "/v3/watch")
        return StoreCallKind::Watch;
    if (path == "/v3/kv/put" || path == "/v3/kv/txn" || path == "/v3/kv/deleterange"
        || path == "/v3/lease/grant" || path == "/v3/lease/keepalive" || path == "/v3/lease/revoke"
        || path == "/v3/kv/lease/revoke")
        return StoreCallKind::Write;
    return StoreCallKind::Unknown;
}

StoreGateway::Reply StoreGateway::call(std::string_view path, const json &request, Instant now)
{
    state_.expireLeases(now);
    if (path == "/v3/kv/range")
        return range(request);
    Reply reply;
    if (path == "/v3/kv/put")
        reply = put(request);
    else if (path == "/v3/kv/deleterange")
        reply = deleteRange(request);
    else if (path == "/v3/kv/txn")
        reply = transaction(request);
    else
        return lease(path.substr(path.rfind('/') + 1), request, now);
    state_.commit();
    if (reply.status == 200)
        reply.body["header"] = header();
    return reply;
}

json StoreGateway::header() const
{
    return { { "cluster_id", "14841639068965178418" },
             { "member_id", "10276657743932975437" },
             { "revision", std::to_string(state_.revision()) },
             { "raft_term", "2" } };
}

StoreGateway::Reply StoreGateway::error(int status, int grpcCode, const std::string &message)
{
    return { status, { { "error", message }, { "code", grpcCode }, { "message", message } } };
}

StoreGateway::Reply StoreGateway::range(const json &request) const
{
    const auto entries =
        state_.range(bytesField(request, "key"), bytesField(request, "range_end", "rangeEnd"));
    const auto limit = numberField(request, "limit");
    Reply reply;
    reply.body["header"] = header();
    setNumber(reply.body, "count", static_cast<std::int64_t>(entries.size()));
    std::int64_t shown = 0;
    for (const auto &[key, value] : entries) {
        if (limit > 0 && shown++ >= limit) {
            reply.body["more"] = true;
            break;
        }
        reply.body["kvs"].push_back(entryJson(key, value));
    }
    return reply;
}

StoreGateway::Reply StoreGateway::put(const json &request)
{
    const auto key = bytesField(request, "key");
    if (key.empty())
        return error(400, kInvalidArgument, "etcdserver: key is not provided");
    const auto previous = state_.get(key);
    if (!state_.put(key, bytesField(request, "value"), numberField(request, "lease")))
        return error(404, kNotFound, "etcdserver: requested lease not found");
    Reply reply;
    reply.body = json::object();
    const auto *const wantsPrevious = field(request, "prev_kv", "prevKv");
    if (wantsPrevious && *wantsPrevious == true && previous)
        reply.body["prev_kv"] = entryJson(key, *previous);
    return reply;
}

StoreGateway::Reply StoreGateway::deleteRange(const json &request)
{
    Reply reply;
    reply.body = json::object();
    setNumber(reply.body, "deleted",
              static_cast<std::int64_t>(state_.deleteRange(
                  bytesField(request, "key"), bytesField(request, "range_end", "rangeEnd"))));
    return reply;
}

bool StoreGateway::isTrue(const json &compare) const
{
    const auto key = bytesField(compare, "key");
    const auto current = state_.get(key).value_or(StoredValue());
    const auto target = compare.value("target", std::string("VERSION"));
    const auto relation = compare.value("result", std::string("EQUAL"));
    if (target == "MOD")
        return compareNumbers(current.modRevision,
                              numberField(compare, "mod_revision", "modRevision"), relation);
    if (target == "CREATE")
        return compareNumbers(current.createRevision,
                              numberField(compare, "create_revision", "createRevision"), relation);
    if (target == "VALUE")
        return compareNumbers(current.value.compare(bytesField(compare, "value")), 0, relation);
    return compareNumbers(current.version, numberField(compare, "version"), relation);
}

json StoreGateway::runOperation(const json &operation)
{
    if (const auto *const request = field(operation, "request_put", "requestPut"))
        return { { "response_put", put(*request).body } };
    if (const auto *const request = field(operation, "request_delete_range", "requestDeleteRange"))
        return { { "response_delete_range", deleteRange(*request).body } };
    if (const auto *const request = field(operation, "request_range", "requestRange"))
        return { { "response_range", range(*request).body } };
    return json::object();
}

StoreGateway::Reply StoreGateway::transaction(const json &request)
{
    bool isSuccess = true;
    if (const auto *const compares = field(request, "compare", nullptr)) {
        for (const auto &compare : *compares) {
            if (!compare.is_object())
                return error(400, kInvalidArgument, "malformed compare");
            isSuccess = isSuccess && isTrue(compare);
        }
    }
    const auto *const operations = field(request, isSuccess ? "success" : "failure", nullptr);
    // All leases are checked first: a transaction takes effect as a whole or not at all.
    if (operations) {
        for (const auto &operation : *operations) {
            const auto *const put = field(operation, "request_put", "requestPut");
            const auto lease = put ? numberField(*put, "lease") : 0;
            if (lease != 0 && !state_.hasLease(lease))
                return error(404, kNotFound, "etcdserver: requested lease not found");
        }
    }
    Reply reply;
    reply.body = json::object();
    if (isSuccess)
        reply.body["succeeded"] = true;
    if (operations) {
        for (const auto &operation : *operations)
            reply.body["responses"].push_back(runOperation(operation));
    }
    return reply;
}

StoreGateway::Reply StoreGateway::lease(std::string_view operation, const json &request,
                                        Instant now)
{
    const auto id = numberField(request, "ID", "id");
    Reply reply;
    if (operation == "grant") {
        const auto timeToLive = numberField(request, "TTL", "ttl");
        if (timeToLive <= 0)
            return error(400, kInvalidArgument, "etcdserver: invalid lease TTL");
        const auto granted = state_.grantLease(id, std::chrono::seconds(timeToLive), now);
        if (granted == 0)
            return error(412, kFailedPrecondition, "etcdserver: lease already exists");
        setNumber(reply.body, "ID", granted);
        setNumber(reply.body, "TTL", timeToLive);
    } else if (operation == "keepalive") {
        json result = { { "header", header() } };
        setNumber(result, "ID", id);
        setNumber(result, "TTL", state_.keepAlive(id, now).count());
        reply.body["result"] = std::move(result);
        return reply;
    } else if (operation == "revoke") {
        if (!state_.revokeLease(id))
            return error(404, kNotFound, "etcdserver: requested lease not found");
    } else {
        return error(404, kUnimplemented, "Not Found");
    }
    reply.body["header"] = header();
    return reply;
}

json StoreGateway::watchMessage(const std::vector<StoreEvent> &events) const
{
    json list = json::array();
    for (const auto &event : events) {
        // PUT is the default value and left out.
        if (event.isDelete) {
            json entry = { { "key", base64Encode(event.key) } };
            setNumber(entry, "mod_revision", event.value.modRevision);
            list.push_back({ { "type", "DELETE" }, { "kv", std::move(entry) } });
        } else {
            list.push_back({ { "kv", entryJson(event.key, event.value) } });
        }
    }
    json result = { { "header", header() } };
    if (!list.empty())
        result["events"] = std::move(list);
    return { { "result", std::move(result) } };
}

} // namespace crocusport
