#include "jsonfields.h"

#include "base64.h"

#include <charconv>
#include <cmath>

namespace crocusport {

void FieldWriter::base64(const char *key, const std::string &value)
{
    object_[key] = toBase64(value);
}

void FieldWriter::optionalBase64(const char *key, const std::optional<std::string> &value)
{
    if (value)
        base64(key, *value);
}

FieldReader::FieldReader(const nlohmann::json &object) : object_(object)
{
    if (!object.is_object())
        error_ = "value is not an object";
}

const nlohmann::json *FieldReader::find(const char *key) const
{
    if (!object_.is_object())
        return nullptr;
    const auto found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
}

void FieldReader::fail(std::string_view key, std::string_view fault)
{
    if (!error_.empty())
        return;
    error_ = key;
    if (!fault.empty())
        error_.append(" ").append(fault);
}

void FieldReader::bytes(const char *key, std::string &value)
{
    const auto *json = find(key);
    const auto *binary = json ? json->get_ptr<const nlohmann::json::binary_t *>() : nullptr;
    if (binary)
        value.assign(binary->begin(), binary->end());
    else
        fail(key, json ? "is not a byte string" : "is missing");
}

void FieldReader::base64(const char *key, std::string &value)
{
    std::string text;
    defaulted(key, text);
    if (auto data = fromBase64(text))
        value = std::move(*data);
    else
        fail(key, "is not base64");
}

void FieldReader::optionalBase64(const char *key, std::optional<std::string> &value)
{
    value.reset();
    if (find(key))
        base64(key, value.emplace());
}

void FieldReader::decimal(const char *key, std::int64_t &value)
{
    value = 0;
    const auto *json = find(key);
    const auto *text = json ? json->get_ptr<const std::string *>() : nullptr;
    if (!json || !text) {
        defaulted(key, value);
        return;
    }
    const auto *const end = text->data() + text->size();
    const auto [parsed, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc {} || parsed != end)
        fail(key, "is not a 64-bit integer");
}

void FieldReader::readString(const char *key, const nlohmann::json &json, std::string &value)
{
    if (const auto *text = json.get_ptr<const std::string *>())
        value = *text;
    else
        fail(key, "is not a string");
}

void FieldReader::readBool(const char *key, const nlohmann::json &json, bool &value)
{
    if (const auto *flag = json.get_ptr<const bool *>())
        value = *flag;
    else
        fail(key, "is not true or false");
}

void FieldReader::readDouble(const char *key, const nlohmann::json &json, double &value)
{
    if (const auto *real = json.get_ptr<const double *>())
        value = *real;
    else if (const auto *positive = json.get_ptr<const std::uint64_t *>())
        value = static_cast<double>(*positive);
    else if (const auto *integer = json.get_ptr<const std::int64_t *>())
        value = static_cast<double>(*integer);
    else
        fail(key, "is not a number");
}

namespace {

//! Returns \a json as an integer; nothing if it is not a number or not whole. JSON has one kind of
//! number, so 1500.0 is 1500.
std::optional<std::int64_t> wholeReal(const nlohmann::json &json)
{
    constexpr double kMaxExact = 9'007'199'254'740'992; // Every whole number up to 2^53 is exact.
    const auto *real = json.get_ptr<const double *>();
    if (!real || !(std::abs(*real) <= kMaxExact) || std::trunc(*real) != *real)
        return std::nullopt;
    return static_cast<std::int64_t>(*real);
}

} // namespace

std::optional<std::uint64_t> FieldReader::readUnsigned(const char *key, const nlohmann::json &json,
                                                       std::uint64_t max)
{
    const auto *positive = json.get_ptr<const std::uint64_t *>();
    if (positive && *positive <= max)
        return *positive;
    if (const auto whole = wholeReal(json);
        whole && *whole >= 0 && std::cmp_less_equal(*whole, max))
        return static_cast<std::uint64_t>(*whole);
    fail(key, "is not an integer from 0 to " + std::to_string(max));
    return std::nullopt;
}

std::optional<std::int64_t> FieldReader::readSigned(const char *key, const nlohmann::json &json,
                                                    std::int64_t min, std::int64_t max)
{
    // The parsers store integers that are not negative as unsigned.
    if (const auto *positive = json.get_ptr<const std::uint64_t *>()) {
        if (std::cmp_less_equal(*positive, max) && std::cmp_greater_equal(*positive, min))
            return static_cast<std::int64_t>(*positive);
    } else if (const auto *integer = json.get_ptr<const std::int64_t *>()) {
        if (*integer >= min && *integer <= max)
            return *integer;
    } else if (const auto whole = wholeReal(json)) {
        if (*whole >= min && *whole <= max)
            return whole;
    }
    fail(key, "is not an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return std::nullopt;
}

std::size_t FieldReader::readName(const char *key, const nlohmann::json &json,
                                  const std::string_view *names, std::size_t count)
{
    const auto *text = json.get_ptr<const std::string *>();
    const auto *const end = names + count;
    const auto *const found = text ? std::find(names, end, *text) : end;
    if (found != end)
        return static_cast<std::size_t>(found - names);
    std::string allowed = "is not one of";
    for (const auto *name = names; name != end; ++name)
        allowed.append(name == names ? " " : ", ").append(*name);
    fail(key, allowed);
    return 0;
}

} // namespace crocusport
