// Dialling and sending with one asynchronous operation at a time.

#include "nng_link.h"

#include <nng/protocol/pipeline0/push.h>

#include <asio/post.hpp>
#include <cstring>
#include <utility>

namespace amaranthlatch::runtime::details {

struct NngLink::Shared {
  explicit Shared(asio::io_context& context) : context(context) {}

  asio::io_context& context;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_aio* aio = nullptr;
  // Read and written on the io_context only; null once the link is destroyed.
  std::shared_ptr<NngLink*> link = std::make_shared<NngLink*>(nullptr);
};

namespace {

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
  status = nng_aio_alloc(&shared->aio, &NngLink::OnSent, shared.get());
  if (status != 0) {
    return tl::unexpected(TransportError("allocating", status));
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
      shared(std::move(shared)) {}

NngLink::~NngLink() {
  this->Detach();
  this->defer([shared = this->shared] {
    // After this no callback of the socket runs.
    nng_close(shared->socket);
    if (shared->aio != nullptr) {
      nng_aio_stop(shared->aio);
      nng_aio_free(shared->aio);
    }
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

void NngLink::OnSent(void* shared_pointer) {
  const auto* const shared = static_cast<const Shared*>(shared_pointer);
  const bool sent = nng_aio_result(shared->aio) == 0;
  if (!sent) {
    nng_msg_free(nng_aio_get_msg(shared->aio));
    nng_aio_set_msg(shared->aio, nullptr);
  }
  asio::post(shared->context, [link = shared->link, sent] {
    if (*link != nullptr) {
      (*link)->HandleSent(sent);
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
  this->SendNext();
  return true;
}

void NngLink::SendNext() {
  if (!this->up || this->sending || this->waiting.empty()) {
    return;
  }
  Message next = std::move(this->waiting.front());
  this->waiting.pop_front();
  this->waiting_bytes -= next.frame.size();
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, next.frame.size()) != 0) {
    next.not_sent();
    return;
  }
  std::memcpy(nng_msg_body(message), next.frame.data(), next.frame.size());
  this->sending = true;
  this->sending_not_sent = std::move(next.not_sent);
  nng_aio_set_msg(this->shared->aio, message);
  nng_send_aio(this->shared->socket, this->shared->aio);
}

void NngLink::HandlePipe(bool added) {
  if (added) {
    this->up = true;
    this->SendNext();
    this->events.on_up();
    return;
  }
  this->up = false;
  // May destroy this link.
  this->events.on_down();
}

void NngLink::HandleSent(bool sent) {
  this->sending = false;
  const NotSent not_sent = std::move(this->sending_not_sent);
  this->SendNext();
  if (!sent) {
    not_sent();
  }
}

void NngLink::DropWaiting() {
  for (const Message& message : std::exchange(this->waiting, {})) {
    message.not_sent();
  }
  this->waiting_bytes = 0;
}

}  // namespace amaranthlatch::runtime::details
