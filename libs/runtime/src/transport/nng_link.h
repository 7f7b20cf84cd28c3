// One PUSH socket with one dialer. Its events are posted to the io_context.

#pragma once

#include <nng/nng.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime::details {

class NngLink {
 public:
  // Calls come on the io_context, and none after the link is destroyed.
  struct Events {
    std::function<void()> on_up;
    std::function<void()> on_down;
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

  // Called, possibly at once, for a message that was taken and then not sent.
  using NotSent = std::function<void()>;

  // False if too many messages wait: the message is not taken, and `not_sent` not called.
  bool Send(std::string frame, NotSent not_sent);

  // Gives the frame to nng now. False, and the frame is not taken, if nng takes none or others
  // wait.
  bool TrySend(const std::string& frame);

  // No event is reported after this; the link can then be destroyed later.
  void Detach();

  bool IsUp() const { return this->up; }

  // Calls `not_sent` of the messages that nng has not been given, and forgets them.
  void DropWaiting();

 private:
  // Shared with nng's threads until the socket is closed.
  struct Shared;
  struct Message {
    std::string frame;
    NotSent not_sent;
  };

  NngLink(Options options, Events events, Defer defer, std::shared_ptr<Shared> shared);

  static void OnPipe(nng_pipe pipe, nng_pipe_ev event, void* shared);
  utils::Result<void> Dial();
  void HandlePipe(bool added);
  void SendWaiting();
  // Gives the message to nng; NNG_EAGAIN while its connection takes no more.
  int Hand(const std::string& frame);
  void RetryLater();

  const Options options;
  const Events events;
  const Defer defer;
  std::shared_ptr<Shared> shared;
  bool up = false;
  asio::steady_timer retry_timer;
  bool retrying = false;
  std::deque<Message> waiting;
  std::size_t waiting_bytes = 0;
};

}  // namespace amaranthlatch::runtime::details
