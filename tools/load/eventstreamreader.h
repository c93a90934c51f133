#ifndef CROCUSPORT_EVENTSTREAMREADER_H
#define CROCUSPORT_EVENTSTREAMREADER_H

#include <functional>
#include <string>
#include <string_view>

namespace crocusport {

/*!
    Splits a stream of server-sent events (WHATWG HTML section 9.2.6) that arrives in pieces.

    Thread safety: none; use from one thread.
*/
class EventStreamReader
{
public:
    //! Receives the event's name, empty for the default, and its data.
    using Handler = std::function<void(std::string_view name, std::string_view data)>;

    explicit EventStreamReader(Handler handler) : handler_(std::move(handler)) { }

    void add(std::string_view piece);

private:
    void onLine(std::string_view line);

    Handler handler_;
    std::string line_; //!< A line whose end has not arrived yet.
    std::string name_;
    std::string data_;
};

} // namespace crocusport

#endif // CROCUSPORT_EVENTSTREAMREADER_H
