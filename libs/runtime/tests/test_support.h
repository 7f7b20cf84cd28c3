// What the tests of the runtime share: a loop with a time limit and a scripted TCP server.

#pragma once

#include <array>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace amaranthlatch::runtime {

inline constexpr auto kTestLimit = std::chrono::seconds(10);

// Runs the loop until the condition holds; false after the test limit.
inline bool RunUntil(asio::io_context& context, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kTestLimit;
  // nng's threads post from outside: the loop must not stop when it has nothing to wait for.
  const auto guard = asio::make_work_guard(context);
  context.restart();
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    context.run_one_for(std::chrono::milliseconds(10));
  }
  return true;
}

// Runs the loop for a while, so that late events can come.
inline void RunFor(asio::io_context& context, std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  const auto guard = asio::make_work_guard(context);
  context.restart();
  while (std::chrono::steady_clock::now() < end) {
    context.run_one_for(std::chrono::milliseconds(5));
  }
}

// A port that nobody listens on.
inline std::string FreeAddress() {
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// A caller that writes raw bytes.
struct RawCaller {
  RawCaller(asio::io_context& context, std::uint16_t port) : socket(context) {
    this->socket.connect({asio::ip::address_v4::loopback(), port});
    this->socket.non_blocking(true);
  }

  void Write(const std::string& text) {
    asio::error_code error;
    this->socket.write_some(asio::buffer(text), error);
  }

  // Takes what has come; true once the server has closed the connection.
  bool Poll() {
    std::array<char, 4096> buffer{};
    asio::error_code error;
    const std::size_t bytes = this->socket.read_some(asio::buffer(buffer), error);
    this->received.append(buffer.data(), bytes);
    return error && error != asio::error::would_block;
  }

  bool Has(const std::string& text) {
    this->Poll();
    return this->received.find(text) != std::string::npos;
  }

  asio::ip::tcp::socket socket;
  std::string received;
};

// A server that counts what it reads and does what the script says.
class ScriptedServer {
 public:
  struct Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(asio::ip::tcp::socket socket) : socket(std::move(socket)) {}

    void Write(const std::string& text) {
      asio::error_code ignored;
      asio::write(this->socket, asio::buffer(text), ignored);
    }
    void Close() {
      asio::error_code ignored;
      this->socket.close(ignored);
    }

    asio::ip::tcp::socket socket;
    std::string received;
    std::array<char, 4096> buffer{};
  };

  // Called with the number of the request (1 for the first, over all connections).
  using Script = std::function<void(Connection&, int request)>;

  ScriptedServer(asio::io_context& context, Script script)
      : acceptor(context, {asio::ip::address_v4::loopback(), 0}), script(std::move(script)) {
    this->Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
  }

  int requests = 0;
  int connections = 0;
  // Request lines with their fields.
  std::vector<std::string> heads;
  std::vector<std::shared_ptr<Connection>> open;
  asio::ip::tcp::acceptor acceptor;

 private:
  void Accept() {
    this->acceptor.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (error) {
            return;
          }
          ++this->connections;
          this->open.push_back(std::make_shared<Connection>(std::move(socket)));
          this->Read(this->open.back());
          this->Accept();
        });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [this, connection](const asio::error_code& error, std::size_t bytes) {
          if (error) {
            return;
          }
          connection->received.append(connection->buffer.data(), bytes);
          this->HandleComplete(*connection);
          if (connection->socket.is_open()) {
            this->Read(connection);
          }
        });
  }

  // A request is complete with its header and the body that Content-Length states.
  void HandleComplete(Connection& connection) {
    const std::size_t end = connection.received.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const std::size_t field = connection.received.find("Content-Length: ");
    const std::size_t length = field < end ? std::stoul(connection.received.substr(field + 16)) : 0;
    if (connection.received.size() < end + 4 + length) {
      return;
    }
    this->heads.push_back(connection.received.substr(0, end));
    connection.received.erase(0, end + 4 + length);
    this->script(connection, ++this->requests);
  }

  Script script;
};

}  // namespace amaranthlatch::runtime
