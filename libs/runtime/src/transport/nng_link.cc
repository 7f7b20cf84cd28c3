// Dialling, and sending without blocking.
//
// nng_sendmsg with NNG_FLAG_NONBLOCK puts a message into the connection on this thread. An
// asynchronous operation reports each message through one of nng's threads and wakes the io_context
// once more: 12 context switches in place of 7 to 9 for each call on each of its two nodes.

#include "transport/nng_link.h"

#include <nng/protocol/pipeline0/push.h>

#include <asio/post.hpp>
#include <chrono>
#include <cstring>
#include <utility>

namespace amaranthlatch::runtime::details {

struct NngLink::Shared {
  explicit Shared(asio::io_context& context) : context(context) {}

  asio::io_context& context;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  // Read and written on the io_context only; null once the link is destroyed.
  std::shared_ptr<NngLink*> link = std::make_shared<NngLink*>(nullptr);
};

namespace {

// Messages that nng takes while its connection is busy with the one before.
constexpr int kNngBufferMessages = 8;
// Interval of attempts while the connection takes nothing.
constexpr auto kRetryInterval = std::chrono::milliseconds(1);

utils::Error TransportError(const std::string& what, int status) {
  return {utils::ErrorCode::kTransportFailed, what + ": " + nng_strerror(status), {}};
}

}  // namespace

utils::Result<std::unique_ptr<NngLink>> NngLink::Create(asio::io_context& context, Options options,
                                                        Events events, Defer defer) {
  auto shared = std::make_shared<Shared>(context);
  int status = nng_push0_open(&shared->socket);
  if (status != 0) {
    return tl::unexpected(TransportError("opening a link", status));
  }
  // The destructor closes the socket on the error paths below.
  std::unique_ptr<NngLink> link(
      new NngLink(std::move(options), std::move(events), std::move(defer), shared));
  *shared->link = link.get();
  status = nng_socket_set_int(shared->socket, NNG_OPT_SENDBUF, kNngBufferMessages);
  if (status != 0) {
    return tl::unexpected(TransportError("setting a link's buffer", status));
  }
  if (auto dialled = link->Dial(); !dialled) {
    return tl::unexpected(dialled.error());
  }
  return link;
}

NngLink::NngLink(Options options, Events events, Defer defer, std::shared_ptr<Shared> shared)
    : options(std::move(options)),
      events(std::move(events)),
      defer(std::move(defer)),
      shared(std::move(shared)),
      retry_timer(this->shared->context) {}

NngLink::~NngLink() {
  this->Detach();
  this->defer([shared = this->shared] {
    // After this no callback of the socket runs.
    nng_close(shared->socket);
  });
}

void NngLink::Detach() { *this->shared->link = nullptr; }

utils::Result<void> NngLink::Dial() {
  const nng_socket socket = this->shared->socket;
  nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, &NngLink::OnPipe, this->shared.get());
  nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, &NngLink::OnPipe, this->shared.get());
  const std::string url = "tcp://" + this->options.address;
  const int status = nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  if (status != 0) {
    return tl::unexpected(TransportError("dialling " + this->options.address, status));
  }
  return {};
}

void NngLink::OnPipe(nng_pipe /*pipe*/, nng_pipe_ev event, void* shared_pointer) {
  const auto* const shared = static_cast<const Shared*>(shared_pointer);
  const bool added = event == NNG_PIPE_EV_ADD_POST;
  asio::post(shared->context, [link = shared->link, added] {
    if (*link != nullptr) {
      (*link)->HandlePipe(added);
    }
  });
}

bool NngLink::Send(std::string frame, NotSent not_sent) {
  const bool too_many = this->waiting.size() >= this->options.max_waiting_messages;
  const bool too_large = this->waiting_bytes + frame.size() > this->options.max_waiting_bytes;
  if (too_many || (too_large && !this->waiting.empty())) {
    return false;
  }
  this->waiting_bytes += frame.size();
  this->waiting.push_back({std::move(frame), std::move(not_sent)});
  this->SendWaiting();
  return true;
}

bool NngLink::TrySend(const std::string& frame) {
  return this->up && !this->retrying && this->waiting.empty() && this->Hand(frame) == 0;
}

int NngLink::Hand(const std::string& frame) {
  nng_msg* message = nullptr;
  int status = nng_msg_alloc(&message, frame.size());
  if (status != 0) {
    return status;
  }
  std::memcpy(nng_msg_body(message), frame.data(), frame.size());
  status = nng_sendmsg(this->shared->socket, message, NNG_FLAG_NONBLOCK);
  if (status != 0) {
    nng_msg_free(message);
  }
  return status;
}

void NngLink::SendWaiting() {
  while (this->up && !this->retrying && !this->waiting.empty()) {
    const int status = this->Hand(this->waiting.front().frame);
    if (status == NNG_EAGAIN) {
      this->RetryLater();
      return;
    }
    const Message message = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->waiting_bytes -= message.frame.size();
    if (status != 0) {
      message.not_sent();
    }
  }
}

void NngLink::RetryLater() {
  this->retrying = true;
  this->retry_timer.expires_after(kRetryInterval);
  this->retry_timer.async_wait([link = this->shared->link](const asio::error_code& error) {
    if (!error && *link != nullptr) {
      (*link)->retrying = false;
      (*link)->SendWaiting();
    }
  });
}

void NngLink::HandlePipe(bool added) {
  if (added) {
    this->up = true;
    this->SendWaiting();
    this->events.on_up();
    return;
  }
  this->up = false;
  // May destroy this link.
  this->events.on_down();
}

void NngLink::DropWaiting() {
  for (const Message& message : std::exchange(this->waiting, {})) {
    message.not_sent();
  }
  this->waiting_bytes = 0;
}

}  // namespace amaranthlatch::runtime::details
