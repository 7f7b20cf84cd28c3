// Closing a connection with a last answer.

#include "http/caller_socket.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <cstddef>

namespace amaranthlatch::runtime::details {

namespace {

// A caller that sends nothing for this long has read the text or is gone.
constexpr auto kIdleLimit = std::chrono::seconds(1);
constexpr auto kLingerLimit = std::chrono::seconds(10);
constexpr std::size_t kDropBufferBytes = 16384;
// Closes in progress at once; above it connections are closed without a text.
constexpr int kMaxLingering = 64;

class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  LingeringClose(asio::ip::tcp::socket socket, std::string text)
      : socket(std::move(socket)), text(std::move(text)), timer(this->socket.get_executor()) {
    ++count;
  }
  ~LingeringClose() { --count; }
  LingeringClose(const LingeringClose&) = delete;
  LingeringClose& operator=(const LingeringClose&) = delete;

  static int Count() { return count; }

  void Start() {
    this->end = std::chrono::steady_clock::now() + kLingerLimit;
    this->LimitIdleTime();
    asio::async_write(
        this->socket, asio::buffer(this->text),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t /*bytes*/) {
          asio::error_code ignored;
          self->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
          self->Continue(error);
        });
  }

 private:
  void LimitIdleTime() {
    this->timer.expires_at(std::min(std::chrono::steady_clock::now() + kIdleLimit, this->end));
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
      if (!error) {
        self->socket.close();
      }
    });
  }

  void Continue(const asio::error_code& error) {
    if (error) {
      this->timer.cancel();
      return;
    }
    this->LimitIdleTime();
    this->socket.async_read_some(
        asio::buffer(this->dropped),
        [self = this->shared_from_this()](const asio::error_code& failed, std::size_t /*bytes*/) {
          self->Continue(failed);
        });
  }

  // Sockets are used on the io_context's thread only.
  static inline thread_local int count = 0;

  asio::ip::tcp::socket socket;
  const std::string text;
  asio::steady_timer timer;
  std::chrono::steady_clock::time_point end;
  std::array<char, kDropBufferBytes> dropped{};
};

}  // namespace

bool CallerHasClosed(int descriptor) {
  char next = 0;
  const ssize_t bytes = recv(descriptor, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
  return bytes == 0 || (bytes < 0 && errno == ECONNRESET);
}

bool IsOnSameInstance(const asio::ip::tcp::socket& socket) {
  asio::error_code local_error;
  asio::error_code remote_error;
  const asio::ip::address local = socket.local_endpoint(local_error).address();
  const asio::ip::address remote = socket.remote_endpoint(remote_error).address();
  // A connection from this instance to another one of its loopback addresses comes from 127.0.0.1.
  return !local_error && !remote_error &&
         (remote == local || remote == asio::ip::address_v4::loopback() ||
          remote == asio::ip::address_v6::loopback());
}

void CloseAfterWriting(asio::ip::tcp::socket socket, std::string text) {
  if (LingeringClose::Count() < kMaxLingering) {
    std::make_shared<LingeringClose>(std::move(socket), std::move(text))->Start();
  }
}

}  // namespace amaranthlatch::runtime::details
