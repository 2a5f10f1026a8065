#include <stdexcept>
#include <thread>
#include <toucan/control_link.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace toucan {
namespace {

using server_type = websocketpp::server<websocketpp::config::asio>;
using client_type = websocketpp::client<websocketpp::config::asio_client>;

// A configuration of the largest supported fleet fits.
constexpr std::size_t maximumMessage = 64U << 20U;

std::vector<std::uint8_t> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

} // namespace

struct control_server::impl
{
    server_type server;
    std::thread thread;
};

control_server::control_server(
    const std::string &ip, std::uint16_t port, request_handler onRequest, page_handler onPage)
    : m_impl(std::make_unique<impl>())
{
    auto &server = m_impl->server;
    server.clear_access_channels(websocketpp::log::alevel::all);
    server.clear_error_channels(websocketpp::log::elevel::all);
    server.set_max_message_size(maximumMessage);
    server.init_asio();
    server.set_reuse_addr(true);
    server.set_message_handler([&server, onRequest](const websocketpp::connection_hdl &link,
                                   const server_type::message_ptr &message) {
        const auto answer = onRequest(toBytes(message->get_payload()));
        websocketpp::lib::error_code failure;
        server.send(
            link, answer.data(), answer.size(), websocketpp::frame::opcode::binary, failure);
    });
    server.set_http_handler([&server, onPage](const websocketpp::connection_hdl &link) {
        const auto connection = server.get_con_from_hdl(link);
        const auto page = onPage(connection->get_resource());
        connection->set_body(page.value_or("not found\n"));
        connection->append_header("Content-Type", "text/plain; version=0.0.4");
        connection->set_status(
            page ? websocketpp::http::status_code::ok : websocketpp::http::status_code::not_found);
    });
    websocketpp::lib::error_code failure;
    server.listen(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(ip), port), failure);
    if (failure)
        throw std::runtime_error(
            "control link " + ip + ":" + std::to_string(port) + ": " + failure.message());
    server.start_accept();
    m_impl->thread = std::thread([&server] { server.run(); });
}

control_server::~control_server()
{
    m_impl->server.stop();
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
        client.set_max_message_size(maximumMessage);
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
        // A connection takes the handlers that are set when it is created.
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
