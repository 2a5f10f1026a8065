#include <stdexcept>
#include <thread>
#include <toucan/control_link.h>
#include <toucan/log.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace toucan {
namespace {

using server_type = websocketpp::server<websocketpp::config::asio>;
using client_type = websocketpp::client<websocketpp::config::asio_client>;

// Sufficient for the configuration of the largest supported fleet.
constexpr std::size_t maxMessageBytes = 64U << 20U;
// Targets' reports take a few hundred bytes.
constexpr std::size_t maxHttpBodyBytes = 64U << 10U;
constexpr std::size_t maxLoggedPath = 200;

std::vector<std::uint8_t> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

} // namespace

struct control_server::impl
{
    boost::asio::io_context context;
    std::vector<std::unique_ptr<server_type>> servers;
    request_handler onRequest;
    http_handler onHttp;
    std::thread thread;

    void listen(const listen_address &address);
    void answerMessage(server_type &server, const websocketpp::connection_hdl &link,
        const server_type::message_ptr &message) const;
    http_response handle(const http_request &request) const;
    void answerHttp(server_type &server, const websocketpp::connection_hdl &link) const;
};

void control_server::impl::listen(const listen_address &address)
{
    auto &server = *servers.emplace_back(std::make_unique<server_type>());
    server.clear_access_channels(websocketpp::log::alevel::all);
    server.clear_error_channels(websocketpp::log::elevel::all);
    server.set_max_message_size(maxMessageBytes);
    server.set_max_http_body_size(maxHttpBodyBytes);
    server.init_asio(&context);
    server.set_reuse_addr(true);
    server.set_message_handler(
        [this, &server](const websocketpp::connection_hdl &link,
            const server_type::message_ptr &message) { answerMessage(server, link, message); });
    server.set_http_handler(
        [this, &server](const websocketpp::connection_hdl &link) { answerHttp(server, link); });
    websocketpp::lib::error_code failure;
    server.listen(
        boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port),
        failure);
    if (failure)
        throw std::runtime_error("control link " + address.ip + ":" + std::to_string(address.port)
            + ": " + failure.message());
    server.start_accept();
}

void control_server::impl::answerMessage(server_type &server,
    const websocketpp::connection_hdl &link, const server_type::message_ptr &message) const
{
    websocketpp::lib::error_code failure;
    std::vector<std::uint8_t> answer;
    try {
        answer = onRequest(toBytes(message->get_payload()));
    } catch (const std::exception &reason) {
        log::part("control")->error("message could not be handled error=\"{}\"", reason.what());
        server.close(
            link, websocketpp::close::status::internal_endpoint_error, "not handled", failure);
        return;
    }
    server.send(link, answer.data(), answer.size(), websocketpp::frame::opcode::binary, failure);
}

// Nobody catches an exception above this in the server's thread.
http_response control_server::impl::handle(const http_request &request) const
{
    constexpr int internalError = 500;
    try {
        return onHttp(request);
    } catch (const std::exception &failure) {
        log::part("control")->error("request failed method={} path={} error=\"{}\"", request.method,
            request.path.substr(0, maxLoggedPath), failure.what());
        http_response answer;
        answer.status = internalError;
        answer.body = "the request could not be handled\n";
        return answer;
    }
}

void control_server::impl::answerHttp(
    server_type &server, const websocketpp::connection_hdl &link) const
{
    const auto connection = server.get_con_from_hdl(link);
    const auto answer = handle({connection->get_request().get_method(), connection->get_resource(),
        connection->get_request_body()});
    connection->set_body(answer.body);
    connection->append_header("Content-Type", answer.contentType);
    connection->append_header("Connection", "close");
    connection->set_status(static_cast<websocketpp::http::status_code::value>(answer.status));
}

control_server::control_server(
    const std::vector<listen_address> &addresses, request_handler onRequest, http_handler onHttp)
    : m_impl(std::make_unique<impl>())
{
    m_impl->onRequest = std::move(onRequest);
    m_impl->onHttp = std::move(onHttp);
    for (const auto &address : addresses)
        m_impl->listen(address);
    m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

control_server::~control_server()
{
    m_impl->context.stop();
    m_impl->thread.join();
}

std::optional<std::vector<std::uint8_t>> callControlLink(const std::string &ip, std::uint16_t port,
    const std::vector<std::uint8_t> &request, std::chrono::milliseconds timeout)
{
    std::optional<std::vector<std::uint8_t>> answer;
    try {
        boost::asio::io_context context;
        client_type client;
        client.clear_access_channels(websocketpp::log::alevel::all);
        client.clear_error_channels(websocketpp::log::elevel::all);
        client.set_max_message_size(maxMessageBytes);
        client.init_asio(&context);
        client.set_open_handler([&](const websocketpp::connection_hdl &link) {
            websocketpp::lib::error_code ignored;
            client.send(
                link, request.data(), request.size(), websocketpp::frame::opcode::binary, ignored);
        });
        client.set_message_handler(
            [&](const websocketpp::connection_hdl &, const client_type::message_ptr &message) {
                answer = toBytes(message->get_payload());
                context.stop();
            });
        // A connection uses the handlers that are set when it is created.
        websocketpp::lib::error_code failure;
        const auto connection
            = client.get_connection("ws://" + ip + ":" + std::to_string(port) + "/", failure);
        if (failure)
            return std::nullopt;
        client.connect(connection);
        context.run_for(timeout);
    } catch (const std::exception &) {
        return std::nullopt;
    }
    return answer;
}

} // namespace toucan
