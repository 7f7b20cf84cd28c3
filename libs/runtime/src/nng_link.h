// One PUSH socket with one dialer. Its events are posted to the io_context.

#pragma once

#include <nng/nng.h>

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime::details {

class NngLink {
 public:
  // Calls come on the io_context, and none after the link is destroyed.
  struct Events {
    std::function<void()> on_up;
    std::function<void()> on_down;
    // nng gave the message back: it was not sent.
    std::function<void(std::uint64_t ticket)> on_not_sent;
  };

  struct Options {
    std::string address;
    std::size_t max_waiting_messages = 0;
    std::size_t max_waiting_bytes = 0;
  };

  // Closing a socket waits for nng's threads, so it is done by `defer` on another thread.
  using Defer = std::function<void(std::function<void()>)>;

  static utils::Result<std::unique_ptr<NngLink>> Create(asio::io_context& context, Options options,
                                                        Events events, Defer defer);
  ~NngLink();
  NngLink(const NngLink&) = delete;
  NngLink& operator=(const NngLink&) = delete;

  // False if too many messages wait: the message is not taken.
  bool Send(std::uint64_t ticket, std::string frame);

  // No event is reported after this; the link can then be destroyed later.
  void Detach();

  bool IsUp() const { return this->up; }

  // Tickets of messages that nng has not been given.
  std::vector<std::uint64_t> Waiting() const;

 private:
  // Shared with nng's threads until the socket is closed.
  struct Shared;
  struct Message {
    std::uint64_t ticket = 0;
    std::string frame;
  };

  NngLink(Options options, Events events, Defer defer, std::shared_ptr<Shared> shared);

  static void OnPipe(nng_pipe pipe, nng_pipe_ev event, void* shared);
  static void OnSent(void* shared);
  utils::Result<void> Dial();
  void HandlePipe(bool added);
  void HandleSent(bool sent);
  void SendNext();

  const Options options;
  const Events events;
  const Defer defer;
  std::shared_ptr<Shared> shared;
  bool up = false;
  // nng holds a message that it has not put into the connection's buffer.
  bool sending = false;
  std::uint64_t sending_ticket = 0;
  std::deque<Message> waiting;
  std::size_t waiting_bytes = 0;
};

}  // namespace amaranthlatch::runtime::details
