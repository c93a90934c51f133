#include "answerreader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace crocusport {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool isEqual(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
            == std::tolower(static_cast<unsigned char>(b));
    });
}

//! Parses the responses in a sequence of bytes, consuming it from the front.
class Reader
{
public:
    enum class Step { Done, Incomplete, Malformed };

    explicit Reader(std::string_view bytes) : rest_(bytes) { }

    bool isEmpty() const { return rest_.empty(); }
    std::string_view rest() const { return rest_; }
    std::string_view takeRest() { return std::exchange(rest_, {}); }

    std::optional<std::string_view> takeLine()
    {
        const auto end = rest_.find(kLineEnd);
        if (end == std::string_view::npos)
            return std::nullopt;
        const auto line = rest_.substr(0, end);
        rest_.remove_prefix(end + kLineEnd.size());
        return line;
    }

    Step readHead(ReadAnswer &answer);
    Step readBody(ReadAnswer &answer, ConnectionEnd end);

private:
    Step readChunks(ReadAnswer &answer);
    bool take(std::size_t size, std::string &into);

    std::string_view rest_;
};

bool Reader::take(std::size_t size, std::string &into)
{
    const auto part = rest_.substr(0, size);
    into += part;
    rest_.remove_prefix(part.size());
    return part.size() == size;
}

Reader::Step Reader::readHead(ReadAnswer &answer)
{
    static constexpr std::string_view kVersion = "HTTP/1.1 ";
    const auto start = rest_.substr(0, kVersion.size());
    if (!kVersion.starts_with(start))
        return Step::Malformed;
    const auto line = takeLine();
    if (!line)
        return Step::Incomplete;
    const auto status = line->substr(std::min(kVersion.size(), line->size()));
    const auto parsed =
        std::from_chars(status.data(), status.data() + status.size(), answer.status);
    constexpr int kStatusDigits = 3;
    if (parsed.ec != std::errc() || parsed.ptr - status.data() != kStatusDigits)
        return Step::Malformed;
    while (const auto field = takeLine()) {
        if (field->empty())
            return Step::Done;
        const auto colon = field->find(": ");
        if (colon == std::string_view::npos)
            return Step::Malformed;
        answer.headers.emplace_back(field->substr(0, colon), field->substr(colon + 2));
    }
    return Step::Incomplete;
}

Reader::Step Reader::readChunks(ReadAnswer &answer)
{
    constexpr int kHexadecimal = 16;
    while (const auto line = takeLine()) {
        std::size_t size = 0;
        const auto *const end = line->data() + line->size();
        const auto parsed = std::from_chars(line->data(), end, size, kHexadecimal);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return Step::Malformed;
        if (!take(size, answer.body))
            return Step::Incomplete;
        const auto lineEnd = rest_.substr(0, kLineEnd.size());
        if (!kLineEnd.starts_with(lineEnd))
            return Step::Malformed;
        rest_.remove_prefix(lineEnd.size());
        if (lineEnd.size() < kLineEnd.size())
            return Step::Incomplete;
        if (size == 0)
            return Step::Done;
    }
    // An incomplete line must be the beginning of a chunk size.
    const bool isSize = std::all_of(rest_.begin(), rest_.end(), [](unsigned char character) {
        return std::isxdigit(character) != 0 || character == '\r';
    });
    return isSize ? Step::Incomplete : Step::Malformed;
}

Reader::Step Reader::readBody(ReadAnswer &answer, ConnectionEnd end)
{
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    if (answer.status == kNoContent || answer.status == kNotModified)
        return Step::Done;
    if (isEqual(answer.header("Transfer-Encoding"), "chunked"))
        return readChunks(answer);
    const auto length = answer.header("Content-Length");
    if (length.empty()) {
        answer.body += takeRest();
        return end == ConnectionEnd::Closed ? Step::Done : Step::Incomplete;
    }
    std::size_t size = 0;
    const auto parsed = std::from_chars(length.data(), length.data() + length.size(), size);
    if (parsed.ec != std::errc() || parsed.ptr != length.data() + length.size())
        return Step::Malformed;
    return take(size, answer.body) ? Step::Done : Step::Incomplete;
}

} // namespace

std::string ReadAnswer::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (isEqual(key, name))
            return value;
    }
    return {};
}

ReadConnection readAnswers(std::string_view bytes, std::size_t requests, ConnectionEnd end)
{
    constexpr int kOk = 200;
    constexpr std::size_t kShown = 80;
    ReadConnection connection;
    Reader reader(bytes);
    const auto fail = [&](const std::string &fault, std::string_view at) {
        connection.fault = fault + ": " + std::string(at.substr(0, kShown));
        return connection;
    };
    while (!reader.isEmpty()) {
        const auto start = reader.rest();
        if (connection.answers.size() == requests)
            return fail("bytes without a request", start);
        ReadAnswer answer;
        auto step = reader.readHead(answer);
        if (step == Reader::Step::Malformed)
            return fail("invalid response head", start);
        if (step == Reader::Step::Done && answer.status < kOk)
            continue;
        const auto body = reader.rest();
        if (step == Reader::Step::Done)
            step = reader.readBody(answer, end);
        if (step == Reader::Step::Malformed)
            return fail("invalid response body", body);
        answer.isComplete = step == Reader::Step::Done;
        connection.answers.push_back(std::move(answer));
        if (step == Reader::Step::Incomplete)
            break;
    }
    return connection;
}

} // namespace crocusport
