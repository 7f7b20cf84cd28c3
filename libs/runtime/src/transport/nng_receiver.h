// The listening PULL socket: brings messages from nng's threads to the io_context.

#pragma once

#include <nng/nng.h>

#include <asio/io_context.hpp>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime::details {

class NngReceiver {
 public:
  // Identifies the connection on which a message came.
  using Connection = std::uint32_t;
  using OnBytes = std::function<void(Connection, std::string)>;
  using OnClosed = std::function<void(Connection)>;

  struct Options {
    std::string address;
    std::size_t max_message_bytes = 0;
    std::size_t max_queued = 0;
  };

  // The functions are called on the io_context. Messages can come after the end of their connection
  // was reported.
  static utils::Result<std::unique_ptr<NngReceiver>> Create(asio::io_context& context,
                                                            const Options& options,
                                                            OnBytes on_bytes, OnClosed on_closed);
  ~NngReceiver();
  NngReceiver(const NngReceiver&) = delete;
  NngReceiver& operator=(const NngReceiver&) = delete;

  std::uint64_t Pauses() const { return this->shared->pauses.load(std::memory_order_relaxed); }

 private:
  // State that nng's thread and the io_context's thread share.
  struct Shared : std::enable_shared_from_this<Shared> {
    Shared(asio::io_context& context, std::size_t max_queued, OnBytes on_bytes, OnClosed on_closed)
        : context(context),
          max_queued(max_queued),
          on_bytes(std::move(on_bytes)),
          on_closed(std::move(on_closed)) {}

    asio::io_context& context;
    const std::size_t max_queued;
    const OnBytes on_bytes;
    const OnClosed on_closed;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    nng_aio* aio = nullptr;
    // Messages posted and not yet handled. At max_queued nng is not asked for more, so that its
    // own bounded buffers and TCP hold the senders back.
    std::atomic<std::size_t> queued = 0;
    std::atomic<bool> paused = false;
    std::atomic<bool> closed = false;
    std::atomic<std::uint64_t> pauses = 0;
  };

  explicit NngReceiver(std::shared_ptr<Shared> shared);

  static void OnReceived(void* shared);
  static void OnPipeClosed(nng_pipe pipe, nng_pipe_ev event, void* shared);
  static void Post(const std::shared_ptr<Shared>& shared, Connection connection, std::string bytes);

  std::shared_ptr<Shared> shared;
};

}  // namespace amaranthlatch::runtime::details
