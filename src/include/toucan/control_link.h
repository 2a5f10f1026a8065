#pragma once

/// Control links between processes: binary WebSocket messages, one request and one answer each, and
/// plain HTTP on the same ports. Written in C++17 because websocketpp needs it; none of its types
/// appear here.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan {

/// A plain HTTP request.
struct http_request
{
    std::string method;
    std::string path;
    std::string body;
};

/// The answer to a plain HTTP request.
struct http_response
{
    int status = 200;
    std::string body;
    std::string contentType = "text/plain; version=0.0.4";
};

/// An address to listen on.
struct listen_address
{
    std::string ip;
    std::uint16_t port = 0;
};

/// Serves control links on its own thread until destroyed.
class control_server
{
public:
    /// Answers a binary message; called on the server's thread.
    using request_handler
        = std::function<std::vector<std::uint8_t>(const std::vector<std::uint8_t> &)>;
    /// Answers a plain HTTP request; called on the server's thread.
    using http_handler = std::function<http_response(const http_request &)>;

    /// Listens on all addresses; throws std::runtime_error when one cannot be bound.
    control_server(const std::vector<listen_address> &addresses, request_handler onRequest,
        http_handler onHttp);
    ~control_server();
    control_server(const control_server &) = delete;
    control_server &operator=(const control_server &) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// Sends one request to a control link and waits for the answer, at most `timeout` in total.
/// nullopt when the link cannot be reached, does not answer or closes.
std::optional<std::vector<std::uint8_t>> callControlLink(const std::string &ip, std::uint16_t port,
    const std::vector<std::uint8_t> &request, std::chrono::milliseconds timeout);

} // namespace toucan
