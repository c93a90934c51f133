#ifndef CROCUSPORT_STOREWATCH_H
#define CROCUSPORT_STOREWATCH_H

#include "storecall.h"

namespace crocusport {

/*!
    A watch of one key. Destroying it ends the watch without calling the handler.

    Thread safety: loop thread only.
*/
class StoreWatch
{
public:
    using Handler = StoreCallback<std::optional<StoreEntry>>;

    //! \a onEntry is called for each change and, last, with an error; it may destroy the watch.
    StoreWatch(StoreCallContext &context, const std::string &key, StoreRevision revision,
               Duration idleTimeout, Handler onEntry);

    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;

    const std::string &key() const { return key_; }

private:
    void onBody(std::string_view data);
    void onEnd(const HttpCallEnd &end);
    //! Handles one line of the stream. Returns false when the watch has ended or is destroyed.
    bool readLine(std::string_view line);
    void finish(Error error);

    StoreCallContext &context_;
    std::string key_;
    std::shared_ptr<Handler> onEntry_; //!< Null once the watch has ended.
    SocketAddress address_;
    int status_ = 0;
    std::string partialLine_;
    std::unique_ptr<HttpCall> call_;
};

} // namespace crocusport

#endif // CROCUSPORT_STOREWATCH_H
