// Receiving with one asynchronous operation at a time.

#include "transport/nng_receiver.h"

#include <nng/protocol/pipeline0/pull.h>

#include <asio/post.hpp>
#include <utility>

namespace amaranthlatch::runtime::details {

namespace {

utils::Error TransportError(const std::string& what, int status) {
  return {utils::ErrorCode::kTransportFailed, what + ": " + nng_strerror(status), {}};
}

}  // namespace

utils::Result<std::unique_ptr<NngReceiver>> NngReceiver::Create(asio::io_context& context,
                                                                const Options& options,
                                                                OnBytes on_bytes,
                                                                OnClosed on_closed) {
  auto shared = std::make_shared<Shared>(context, options.max_queued, std::move(on_bytes),
                                         std::move(on_closed));
  int status = nng_pull0_open(&shared->socket);
  if (status != 0) {
    return tl::unexpected(TransportError("opening the listener", status));
  }
  // The destructor closes the socket on the error paths below.
  std::unique_ptr<NngReceiver> receiver(new NngReceiver(shared));
  nng_socket_set_size(shared->socket, NNG_OPT_RECVMAXSZ, options.max_message_bytes);
  status = nng_aio_alloc(&shared->aio, &NngReceiver::OnReceived, shared.get());
  if (status != 0) {
    return tl::unexpected(TransportError("allocating", status));
  }
  nng_pipe_notify(shared->socket, NNG_PIPE_EV_REM_POST, &NngReceiver::OnPipeClosed, shared.get());
  const std::string url = "tcp://" + options.address;
  status = nng_listen(shared->socket, url.c_str(), nullptr, 0);
  if (status != 0) {
    return tl::unexpected(TransportError("listening on " + options.address, status));
  }
  nng_recv_aio(shared->socket, shared->aio);
  return receiver;
}

NngReceiver::NngReceiver(std::shared_ptr<Shared> shared) : shared(std::move(shared)) {}

NngReceiver::~NngReceiver() {
  this->shared->closed = true;
  nng_close(this->shared->socket);
  if (this->shared->aio != nullptr) {
    nng_aio_stop(this->shared->aio);
    nng_aio_free(this->shared->aio);
    this->shared->aio = nullptr;
  }
}

void NngReceiver::OnReceived(void* shared_pointer) {
  auto* const shared = static_cast<Shared*>(shared_pointer);
  if (nng_aio_result(shared->aio) != 0) {
    // The socket is closed; nng reports faults of single connections by dropping them.
    return;
  }
  nng_msg* const message = nng_aio_get_msg(shared->aio);
  std::string bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
  const int pipe = nng_pipe_id(nng_msg_get_pipe(message));
  nng_msg_free(message);
  Post(shared->shared_from_this(), static_cast<Connection>(pipe), std::move(bytes));
}

void NngReceiver::OnPipeClosed(nng_pipe pipe, nng_pipe_ev /*event*/, void* shared_pointer) {
  auto* const shared = static_cast<Shared*>(shared_pointer);
  const auto connection = static_cast<Connection>(nng_pipe_id(pipe));
  asio::post(shared->context, [shared = shared->shared_from_this(), connection] {
    if (!shared->closed) {
      shared->on_closed(connection);
    }
  });
}

void NngReceiver::Post(const std::shared_ptr<Shared>& shared, Connection connection,
                       std::string bytes) {
  const bool full = shared->queued.fetch_add(1) + 1 >= shared->max_queued;
  if (full) {
    shared->pauses.fetch_add(1, std::memory_order_relaxed);
    // Set before the message is posted: its handler resumes.
    shared->paused = true;
  }
  asio::post(shared->context, [shared, connection, bytes = std::move(bytes)]() mutable {
    if (!shared->closed) {
      shared->on_bytes(connection, std::move(bytes));
    }
    shared->queued.fetch_sub(1);
    if (!shared->closed && shared->paused.exchange(false)) {
      nng_recv_aio(shared->socket, shared->aio);
    }
  });
  if (!full) {
    nng_recv_aio(shared->socket, shared->aio);
  }
}

}  // namespace amaranthlatch::runtime::details
