#include "keytable.h"

#include "crocusport/protocol/socketaddresstext.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace crocusport {

namespace {

//! Returns \a number without digits that carry nothing, such as "0.125".
std::string numberText(double number)
{
    std::ostringstream stream;
    stream.precision(15);
    stream << number;
    return stream.str();
}

std::string rangeText(const KeyDescription &key)
{
    return numberText(key.min) + " to " + numberText(key.max);
}

bool isNameText(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '.' || character == '_'
            || character == '-';
    });
}

//! What was found, without the content of a secret.
std::string describeFound(const KeyDescription &key, const TomlValue &value)
{
    struct Visitor
    {
        bool isSecret;
        std::string operator()(const std::string &text) const
        {
            return isSecret ? "a text of " + std::to_string(text.size()) + " bytes"
                            : '"' + text + '"';
        }
        std::string operator()(std::int64_t number) const
        {
            return isSecret ? "an integer" : std::to_string(number);
        }
        std::string operator()(double number) const
        {
            return isSecret ? "a number" : numberText(number);
        }
        std::string operator()(bool flag) const { return flag ? "true" : "false"; }
        std::string operator()(const std::vector<std::string> &texts) const
        {
            std::string list = "a list of " + std::to_string(texts.size());
            return isSecret || texts.empty() ? list : list + " (\"" + texts.front() + "\", ...)";
        }
        std::string operator()(const UnsupportedTomlValue &value) const { return value.kind; }
    };
    return std::visit(Visitor { key.type == KeyType::Secret }, value.value);
}

bool isInRange(const KeyDescription &key, double value)
{
    // A NaN is in no range.
    return value >= key.min && value <= key.max;
}

bool isAllowedText(const KeyDescription &key, const std::string &text)
{
    switch (key.type) {
    case KeyType::Name:
        return isInRange(key, static_cast<double>(text.size())) && isNameText(text);
    case KeyType::Address:
        return isSocketAddressText(text);
    case KeyType::Choice:
        return std::find(key.choices.begin(), key.choices.end(), text) != key.choices.end();
    default:
        return isInRange(key, static_cast<double>(text.size()))
            && std::none_of(text.begin(), text.end(), [](unsigned char character) {
                   return character < ' ' || character == 0x7F;
               });
    }
}

bool isAllowedList(const KeyDescription &key, const std::vector<std::string> &texts)
{
    return isInRange(key, static_cast<double>(texts.size()))
        && std::all_of(texts.begin(), texts.end(), [&](const std::string &text) {
               return key.type == KeyType::AddressList ? isSocketAddressText(text) : !text.empty();
           });
}

//! Returns \a real as an integer, or nothing if it is not whole: 4100.0 and 4100 are the same.
std::optional<std::int64_t> wholeNumber(double real)
{
    constexpr double kMaxExact = 9'007'199'254'740'992; // Every whole number up to 2^53 is exact.
    if (!(std::abs(real) <= kMaxExact) || std::trunc(real) != real)
        return std::nullopt;
    return static_cast<std::int64_t>(real);
}

std::optional<KeyValue> convert(const KeyDescription &key, const TomlValue &value)
{
    const auto *text = std::get_if<std::string>(&value.value);
    const auto *integer = std::get_if<std::int64_t>(&value.value);
    const auto *real = std::get_if<double>(&value.value);
    const auto *texts = std::get_if<std::vector<std::string>>(&value.value);
    switch (key.type) {
    case KeyType::Integer: {
        const auto whole = integer ? std::optional(*integer)
            : real                 ? wholeNumber(*real)
                                   : std::nullopt;
        if (whole && isInRange(key, static_cast<double>(*whole)))
            return *whole;
        break;
    }
    case KeyType::Number: {
        const double number = integer ? static_cast<double>(*integer) : real ? *real : NAN;
        if (isInRange(key, number))
            return number;
        break;
    }
    case KeyType::AddressList:
    case KeyType::TextList:
        if (texts && isAllowedList(key, *texts))
            return *texts;
        break;
    case KeyType::Name:
    case KeyType::Text:
    case KeyType::Secret:
    case KeyType::Address:
    case KeyType::Choice:
        if (text && isAllowedText(key, *text))
            return *text;
        break;
    }
    return std::nullopt;
}

template<typename Number>
TomlValue numberFromText(std::string_view text)
{
    Number number {};
    const auto *const end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc {} || parsed != end)
        return { std::string(text), 0 };
    return { number, 0 };
}

} // namespace

std::string describeAllowed(const KeyDescription &key)
{
    std::string allowed;
    switch (key.type) {
    case KeyType::Name:
        allowed = "a name of " + rangeText(key) + " letters, digits, '.', '_' or '-'";
        break;
    case KeyType::Text:
        allowed = "a text of " + rangeText(key) + " bytes without control characters";
        break;
    case KeyType::Secret:
        allowed = "a secret text of " + rangeText(key) + " bytes without control characters";
        break;
    case KeyType::Integer:
        allowed = "an integer from " + rangeText(key);
        break;
    case KeyType::Number:
        allowed = "a number from " + rangeText(key);
        break;
    case KeyType::Address:
        allowed = "an address \"ip:port\"";
        break;
    case KeyType::AddressList:
        allowed = "a list of " + rangeText(key) + " addresses \"ip:port\"";
        break;
    case KeyType::TextList:
        allowed = "a list of " + rangeText(key) + " texts that are not empty";
        break;
    case KeyType::Choice:
        allowed = "one of";
        for (std::size_t i = 0; i < key.choices.size(); ++i)
            allowed.append(i == 0 ? " \"" : ", \"").append(key.choices[i]).append("\"");
        break;
    }
    return key.unit.empty() ? allowed : allowed + " (" + std::string(key.unit) + ')';
}

std::optional<KeyValue> checkKeyValue(const KeyDescription &key, const TomlValue &value,
                                      const std::string &position, Faults &faults)
{
    auto converted = convert(key, value);
    if (!converted)
        faults.push_back(position + ": " + std::string(key.name) + " is "
                         + describeFound(key, value) + "; allowed is " + describeAllowed(key));
    return converted;
}

TomlValue tomlValueFromText(const KeyDescription &key, std::string_view text)
{
    switch (key.type) {
    case KeyType::Integer:
        return numberFromText<std::int64_t>(text);
    case KeyType::Number:
        return numberFromText<double>(text);
    case KeyType::AddressList:
    case KeyType::TextList: {
        std::vector<std::string> texts;
        std::istringstream stream { std::string(text) };
        for (std::string element; std::getline(stream, element, ',');)
            texts.push_back(element);
        return { std::move(texts), 0 };
    }
    default:
        return { std::string(text), 0 };
    }
}

std::string keyReference(const KeyDescription &key)
{
    std::string defaultText = "none";
    if (key.need == KeyNeed::Required)
        defaultText = "required";
    else if (!key.defaultText.empty())
        defaultText = '`' + std::string(key.defaultText) + '`';
    return "| `" + std::string(key.name) + "` | " + defaultText + " | " + describeAllowed(key)
        + " | " + std::string(key.description) + " |\n";
}

std::string joinFaults(const Faults &faults)
{
    std::string joined;
    for (const auto &fault : faults)
        joined.append(joined.empty() ? "" : "\n").append(fault);
    return joined;
}

} // namespace crocusport
