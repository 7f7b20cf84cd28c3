// Drives a libcurl multi handle on an Asio io_context.

#pragma once

#include <curl/curl.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

class CurlMulti {
 public:
  // `finished` is called for each transfer that libcurl reports as done, outside of libcurl.
  using Finished = std::function<void(CURL*, CURLcode)>;

  // A connection on which sent bytes stay unacknowledged for `acknowledge_limit` is lost.
  CurlMulti(asio::io_context& context, std::size_t max_connections,
            utils::Duration acknowledge_limit, Finished finished);
  ~CurlMulti();
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  // Sets the options by which the handle's connections belong to this object, then starts it.
  bool Add(CURL* easy);
  void Remove(CURL* easy);

  void Limit(std::size_t max_connections);

 private:
  // A socket of libcurl, registered with Asio for as long as it is open.
  struct Watched {
    explicit Watched(asio::io_context& context) : socket(context) {}
    asio::ip::tcp::socket socket;
    // CURL_POLL_* that libcurl wants to hear of.
    int wanted = CURL_POLL_NONE;
    bool reading = false;
    bool writing = false;
  };
  using WatchedPointer = std::shared_ptr<Watched>;
  // The sockets that libcurl has opened for one transfer.
  struct Opened {
    CurlMulti* multi = nullptr;
    std::vector<curl_socket_t> sockets;
  };

  static curl_socket_t OpenSocket(void* self, curlsocktype purpose, curl_sockaddr* address);
  static int CloseSocket(void* self, curl_socket_t socket);
  static int SocketCallback(CURL* easy, curl_socket_t socket, int what, void* self, void* data);
  // NOLINTNEXTLINE(google-runtime-int): libcurl's type.
  static int TimerCallback(CURLM* multi, long timeout_ms, void* self);

  // libcurl 7.88 closes a socket that never connected without calling CloseSocket. Its number may
  // belong to another connection by now, so this object must forget it without closing it.
  void ForgetUnconnected(CURL* easy);
  void Watch(const WatchedPointer& watched);
  void WaitFor(const WatchedPointer& watched, bool read);
  void OnReady(const WatchedPointer& watched, bool read, bool failed);
  void Act(curl_socket_t socket, int events);
  void CollectFinished();

  asio::io_context& context;
  const utils::Duration acknowledge_limit;
  Finished finished;
  CURLM* multi;
  asio::steady_timer timer;
  std::unordered_map<curl_socket_t, WatchedPointer> sockets;
  // One entry for each transfer between Add and Remove.
  std::unordered_map<CURL*, std::unique_ptr<Opened>> opened;
  // Expires with this object: completions that come later do nothing.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace amaranthlatch::runtime::details
