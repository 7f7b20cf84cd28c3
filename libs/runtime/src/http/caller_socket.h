// The socket type that RESTinio's connections use here.
//
// RESTinio closes a connection without a word when a request does not parse, exceeds a limit or
// does not arrive in time. This socket writes an answer before such a close, if no other answer is
// under way on the connection, and refuses connections above the limit in the same manner.

#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "http/buffered_bytes.h"
#include "http/request_size.h"

namespace amaranthlatch::runtime::details {

// What is known about one connection; shared by its socket and the server.
struct CallerConnection {
  // Bytes of a request have come that is not complete yet.
  bool request_begun = false;
  bool closed_by_caller = false;
  // The server does not want this connection.
  bool refused = false;
  // Answers to the caller do not go over the instance's link.
  bool on_same_instance = false;
  // Of the request that is being received, and what is counted for it.
  RequestSize size;
  Charge charge;
  // Takes what was read; false if the request does not fit the memory of the server.
  std::function<bool(std::string_view)> admit;
  // Requests whose answers are not written yet.
  int unanswered = 0;
  // The answer to write before the connection is closed.
  std::string last_words;
  // Used if the close comes while a request is incomplete and nothing else is to be written.
  std::string timeout_answer;
};

// Whether the caller has closed its side and everything it sent has been read.
bool CallerHasClosed(int descriptor);

// False if it is unknown.
bool IsOnSameInstance(const asio::ip::tcp::socket& socket);

// Writes the text, then reads and drops what the caller still sends, until it pauses for a second,
// for at most ten. A close with unread input would reset the connection and could destroy the text
// before it is read.
void CloseAfterWriting(asio::ip::tcp::socket socket, std::string text);

class CallerSocket : public asio::ip::tcp::socket {
  using Base = asio::ip::tcp::socket;

 public:
  explicit CallerSocket(asio::io_context& context) : Base(context) {}
  CallerSocket(CallerSocket&&) = default;
  CallerSocket& operator=(CallerSocket&&) = default;

  // Called when RESTinio has made a connection of this socket.
  std::shared_ptr<CallerConnection> Begin() {
    this->connection = std::make_shared<CallerConnection>();
    this->connection->on_same_instance = IsOnSameInstance(*this);
    return this->connection;
  }

  // The functions below hide those of the base class and have its signatures and names.
  // NOLINTBEGIN(readability-identifier-naming)
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler handler) {
    if (this->connection->refused) {
      asio::post(this->get_executor(), [handler = std::move(handler)]() mutable {
        handler(asio::error_code(asio::error::connection_refused), 0);
      });
      return;
    }
    // RESTinio's handler keeps this socket until it is called.
    Base::async_read_some(
        buffers, [this, buffers, connection = this->connection, handler = std::move(handler)](
                     const asio::error_code& error, std::size_t bytes) mutable {
          connection->request_begun = connection->request_begun || bytes > 0;
          connection->closed_by_caller =
              connection->closed_by_caller || error == asio::error::eof ||
              error == asio::error::connection_reset || CallerHasClosed(this->native_handle());
          if (!error && connection->admit && !connection->admit(FirstBytes(buffers, bytes))) {
            handler(asio::error_code(asio::error::no_buffer_space), 0);
            return;
          }
          handler(error, bytes);
        });
  }

  void shutdown(shutdown_type what, asio::error_code& error) {
    std::string text = this->LastWords();
    if (text.empty()) {
      Base::shutdown(what, error);
      return;
    }
    Base::cancel(error);
    CloseAfterWriting(std::move(static_cast<Base&>(*this)), std::move(text));
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  // RESTinio reads into one buffer.
  template <typename Buffers>
  static std::string_view FirstBytes(const Buffers& buffers, std::size_t bytes) {
    const asio::mutable_buffer first = *asio::buffer_sequence_begin(buffers);
    return {static_cast<const char*>(first.data()), bytes};
  }

  std::string LastWords() const {
    if (!this->connection || this->connection->closed_by_caller ||
        this->connection->unanswered > 0) {
      return {};
    }
    if (!this->connection->last_words.empty()) {
      return this->connection->last_words;
    }
    return this->connection->request_begun ? this->connection->timeout_answer : std::string();
  }

  std::shared_ptr<CallerConnection> connection;
};

}  // namespace amaranthlatch::runtime::details
