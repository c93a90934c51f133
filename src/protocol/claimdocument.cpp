#include "crocusport/protocol/claimdocument.h"

#include "cborstructure.h"
#include "jsondocument.h"

namespace crocusport {

namespace {

// In base64, with the other fields.
constexpr std::size_t kMaxClaimBytes = 2 * kMaxStoredBodyBytes;

} // namespace

void describe(auto &fields, Is<StoredResponse> auto &response)
{
    fields.required("status", response.status);
    fields.required("type", response.contentType);
    fields.bytes("body", response.body);
}

void describe(auto &fields, Is<ClaimRecord> auto &claim)
{
    fields.required("router", claim.router);
    fields.required("incarnation", claim.incarnation);
    fields.required("request", claim.request);
    fields.required("attempt", claim.attempt);
    fields.required("body_sha256", claim.bodyHash);
    fields.required("state", claim.state);
    fields.optionalBase64("response", claim.response);
}

std::optional<std::string> writeStoredResponse(const StoredResponse &response)
{
    if (response.body.size() > kMaxStoredBodyBytes)
        return std::nullopt;
    std::string data;
    nlohmann::json::to_cbor(FieldWriter::toJson(response), data);
    return data;
}

Result<StoredResponse> parseStoredResponse(std::string_view data)
{
    if (const auto fault = findCborFault(data, CborLimits {}); !fault.empty())
        return makeError(ResultCode::MalformedMessage, "stored response: " + std::string(fault));
    const auto json = nlohmann::json::from_cbor(data, true, false);
    StoredResponse response;
    FieldReader reader(json);
    describe(reader, response);
    if (!reader.error().empty())
        return makeError(ResultCode::MalformedMessage, "stored response: " + reader.error());
    return response;
}

std::string writeClaim(const ClaimRecord &claim)
{
    return writeJsonDocument(claim);
}

Result<ClaimRecord> parseClaim(std::string_view text)
{
    if (text.size() > kMaxClaimBytes)
        return makeError(ResultCode::MalformedMessage, "claim is too large");
    return parseJsonDocument<ClaimRecord>(text, "claim");
}

ClaimCodec claimDocumentCodec()
{
    return { writeClaim, [](const std::string &text) {
                return handleErrors(
                    [&]() -> Result<std::optional<ClaimRecord>> {
                        BOOST_LEAF_AUTO(claim, parseClaim(text));
                        return std::optional(std::move(claim));
                    },
                    [](const Error &) { return std::optional<ClaimRecord> {}; });
            } };
}

} // namespace crocusport
