#include "websocketendpoint.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <sstream>
#include <utility>

namespace crocusport {

namespace {

// Passes everything written to it to a function, since websocketpp's iostream transport writes to
// a std::ostream.
class OutputBuffer : public std::streambuf
{
public:
    explicit OutputBuffer(std::function<void(std::string_view)> onOutput)
        : onOutput_(std::move(onOutput))
    { }

protected:
    std::streamsize xsputn(const char *data, std::streamsize size) override
    {
        onOutput_(std::string_view(data, static_cast<std::size_t>(size)));
        return size;
    }

    int_type overflow(int_type character) override
    {
        const char byte = traits_type::to_char_type(character);
        onOutput_(std::string_view(&byte, 1));
        return character;
    }

private:
    std::function<void(std::string_view)> onOutput_;
};

// Common interface of the client and the server side, whose websocketpp types differ.
class Side
{
public:
    virtual ~Side() = default;
    virtual void start() = 0;
    virtual bool receive(std::string_view bytes) = 0;
    virtual void send(std::string_view message) = 0;
    virtual void close(const std::string &reason) = 0;
};

template<typename Endpoint>
class SideOf : public Side
{
public:
    SideOf(std::size_t maxMessageBytes, const WebSocketEndpoint::Handlers &handlers)
        : handlers_(handlers), buffer_(handlers.onOutput), output_(&buffer_)
    {
        endpoint_.clear_access_channels(websocketpp::log::alevel::all);
        endpoint_.clear_error_channels(websocketpp::log::elevel::all);
        endpoint_.register_ostream(&output_);
        endpoint_.set_max_message_size(maxMessageBytes);
        endpoint_.set_max_http_body_size(0); // A handshake has no body.
        // A connection copies the handlers when it is made, so they are set before that.
        endpoint_.set_open_handler([this](const websocketpp::connection_hdl &) { markOpen(); });
        endpoint_.set_message_handler([this](const websocketpp::connection_hdl &,
                                             const typename Endpoint::message_ptr &message) {
            if (message->get_opcode() == websocketpp::frame::opcode::binary)
                handlers_.onMessage(std::move(message->get_raw_payload()));
            else
                markClosed("message is not binary");
        });
        endpoint_.set_close_handler(
            [this](const websocketpp::connection_hdl &) { markClosed("closed by peer"); });
        endpoint_.set_fail_handler(
            [this](const websocketpp::connection_hdl &) { markClosed("handshake failed"); });
    }

    // Until the connection is told that its input has ended, it owns itself.
    ~SideOf() override
    {
        isClosed_ = true;
        if (connection_)
            connection_->eof();
    }

    bool receive(std::string_view bytes) override
    {
        if (isClosed_)
            return false;
        const auto consumed = connection_->read_all(bytes.data(), bytes.size());
        // After a protocol error, websocketpp sends a close frame and reads no further without
        // calling a handler.
        const auto state = connection_->get_state();
        if (consumed < bytes.size() || state == websocketpp::session::state::closing
            || state == websocketpp::session::state::closed)
            markClosed("closed after a protocol error or by the peer");
        return !isClosed_;
    }

    void send(std::string_view message) override
    {
        if (isClosed_)
            return;
        const auto error =
            connection_->send(message.data(), message.size(), websocketpp::frame::opcode::binary);
        if (error)
            markClosed(error.message());
    }

    void close(const std::string &reason) override
    {
        if (isClosed_)
            return;
        websocketpp::lib::error_code ignored; // The connection is given up in any case.
        connection_->close(websocketpp::close::status::normal, reason, ignored);
    }

protected:
    void markOpen()
    {
        if (!isClosed_)
            handlers_.onOpen();
    }

    void markClosed(const std::string &reason)
    {
        if (isClosed_)
            return;
        isClosed_ = true;
        handlers_.onClosed(reason);
    }

    WebSocketEndpoint::Handlers handlers_;
    OutputBuffer buffer_;
    std::ostream output_;
    Endpoint endpoint_;
    typename Endpoint::connection_ptr connection_;
    bool isClosed_ = false;
};

class ServerSide : public SideOf<websocketpp::server<websocketpp::config::core>>
{
public:
    using SideOf::SideOf;

    void start() override
    {
        connection_ = endpoint_.get_connection();
        connection_->start();
    }
};

class ClientSide : public SideOf<websocketpp::client<websocketpp::config::core_client>>
{
public:
    ClientSide(const std::string &host, std::size_t maxMessageBytes,
               const WebSocketEndpoint::Handlers &handlers)
        : SideOf(maxMessageBytes, handlers), host_(host)
    { }

    void start() override
    {
        websocketpp::lib::error_code error;
        connection_ = endpoint_.get_connection("ws://" + host_ + "/", error);
        if (error) {
            markClosed(error.message());
            return;
        }
        endpoint_.connect(connection_);
    }

private:
    std::string host_;
};

} // namespace

struct WebSocketEndpoint::Private
{
    std::unique_ptr<Side> side;
};

WebSocketEndpoint::WebSocketEndpoint(Role role, const std::string &host,
                                     std::size_t maxMessageBytes, const Handlers &handlers)
    : d_(std::make_unique<Private>())
{
    if (role == Role::Client)
        d_->side = std::make_unique<ClientSide>(host, maxMessageBytes, handlers);
    else
        d_->side = std::make_unique<ServerSide>(maxMessageBytes, handlers);
}

WebSocketEndpoint::~WebSocketEndpoint() = default;

void WebSocketEndpoint::start()
{
    d_->side->start();
}

bool WebSocketEndpoint::receive(std::string_view bytes)
{
    return d_->side->receive(bytes);
}

void WebSocketEndpoint::send(std::string_view message)
{
    d_->side->send(message);
}

void WebSocketEndpoint::close(const std::string &reason)
{
    d_->side->close(reason);
}

} // namespace crocusport
