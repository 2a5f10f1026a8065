#pragma once

/// Control links between processes: binary WebSocket messages, one request and one answer each, and
/// plain HTTP pages on the same port. Written in C++17 because websocketpp needs it; names none of
/// its types.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan {

/// Serves control links on its own thread until destroyed.
class control_server
{
public:
    /// Answers a binary message; called on the server's thread.
    using request_handler
        = std::function<std::vector<std::uint8_t>(const std::vector<std::uint8_t> &)>;
    /// Gives the page at a path, or nullopt for 404; called on the server's thread.
    using page_handler = std::function<std::optional<std::string>(const std::string &)>;

    /// Listens on ip:port; throws std::runtime_error when it cannot.
    control_server(
        const std::string &ip, std::uint16_t port, request_handler onRequest, page_handler onPage);
    ~control_server();
    control_server(const control_server &) = delete;
    control_server &operator=(const control_server &) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// Sends one request to a control link and waits for the answer, at most `timeout` for everything.
/// nullopt when the link cannot be reached, goes silent or closes.
std::optional<std::vector<std::uint8_t>> callControlLink(const std::string &ip, std::uint16_t port,
    const std::vector<std::uint8_t> &request, std::chrono::milliseconds timeout);

} // namespace toucan
