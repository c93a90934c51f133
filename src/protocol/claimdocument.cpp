#include "crocusport/protocol/claimdocument.h"

#include "jsonfields.h"
#include "jsontext.h"

namespace crocusport {

template<>
struct EnumNames<ClaimState>
{
    static constexpr std::array<std::string_view, 4> kNames = { "claimed", "completed", "not_run",
                                                                "unknown" };
};

void describe(auto &fields, Is<StoredResponse> auto &response)
{
    fields.required("status", response.status);
    fields.defaulted("content_type", response.contentType);
    fields.base64("body", response.body);
}

void describe(auto &fields, Is<Claim> auto &claim)
{
    fields.required("router", claim.router);
    fields.required("incarnation", claim.incarnation);
    fields.required("request", claim.request);
    fields.required("attempt", claim.attempt);
    fields.required("body_sha256", claim.bodyHash);
    fields.required("state", claim.state);
    fields.optional("response", claim.response);
}

Result<Claim> parseClaim(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJsonObject(text, "claim", ResultCode::MalformedMessage));
    Claim claim;
    FieldReader reader(json);
    describe(reader, claim);
    if (reader.error().empty() && claim.response
        && claim.response->body.size() > kMaxStoredBodyBytes)
        reader.fail("response.body", "is too long");
    if (!reader.error().empty())
        return makeError(ResultCode::MalformedMessage, "claim: " + reader.error());
    return claim;
}

std::string writeClaim(const Claim &claim)
{
    auto written = claim;
    if (written.response && written.response->body.size() > kMaxStoredBodyBytes)
        written.response.reset();
    return writeJson(FieldWriter::toJson(written));
}

} // namespace crocusport
