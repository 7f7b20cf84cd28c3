// The multi handle's sockets and timer on Asio.

#include "http/curl_multi.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <asio/post.hpp>
#include <utility>

namespace amaranthlatch::runtime::details {

namespace {

// A peer that is cut off neither answers nor resets: probes after an idle second and the limit on
// unacknowledged data end the connection. Without them a read would wait for its whole time limit.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void ShowSilence(asio::ip::tcp::socket& socket, utils::Duration acknowledge_limit) {
  const auto limit_ms = static_cast<unsigned>(utils::ToMilliseconds(acknowledge_limit));
  const int handle = socket.native_handle();
  const int on = 1;
  // A socket without these options still works; exchanges then end by their own time limits.
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof(limit_ms));
}

bool WantsRead(int wanted) { return wanted == CURL_POLL_IN || wanted == CURL_POLL_INOUT; }
bool WantsWrite(int wanted) { return wanted == CURL_POLL_OUT || wanted == CURL_POLL_INOUT; }

}  // namespace

CurlMulti::CurlMulti(asio::io_context& context, std::size_t max_connections,
                     utils::Duration acknowledge_limit, Finished finished)
    : context(context),
      acknowledge_limit(acknowledge_limit),
      finished(std::move(finished)),
      multi(curl_multi_init()),
      timer(context) {
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &CurlMulti::SocketCallback);
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &CurlMulti::TimerCallback);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  this->Limit(max_connections);
}

CurlMulti::~CurlMulti() {
  *this->alive = false;
  curl_multi_cleanup(this->multi);
}

bool CurlMulti::Add(CURL* easy) {
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &CurlMulti::OpenSocket);
  std::unique_ptr<Opened>& entry = this->opened[easy];
  entry = std::make_unique<Opened>();
  entry->multi = this;
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, entry.get());
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &CurlMulti::CloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  return curl_multi_add_handle(this->multi, easy) == CURLM_OK;
}

void CurlMulti::Remove(CURL* easy) {
  curl_multi_remove_handle(this->multi, easy);
  this->ForgetUnconnected(easy);
  this->opened.erase(easy);
}

void CurlMulti::ForgetUnconnected(CURL* easy) {
  const auto entry = this->opened.find(easy);
  if (entry == this->opened.end()) {
    return;
  }
  curl_off_t connected_after_us = 0;
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected_after_us);
  for (const curl_socket_t socket : std::exchange(entry->second->sockets, {})) {
    const auto found = this->sockets.find(socket);
    if (connected_after_us != 0 || found == this->sockets.end()) {
      continue;
    }
    asio::error_code ignored;
    found->second->wanted = CURL_POLL_NONE;
    found->second->socket.release(ignored);
    this->sockets.erase(found);
  }
}

void CurlMulti::Limit(std::size_t max_connections) {
  const auto limit = static_cast<long>(max_connections);  // NOLINT(google-runtime-int)
  curl_multi_setopt(this->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, limit);
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, limit);
}

curl_socket_t CurlMulti::OpenSocket(void* self, curlsocktype purpose, curl_sockaddr* address) {
  auto* const opened = static_cast<Opened*>(self);
  CurlMulti* const multi = opened->multi;
  if (purpose != CURLSOCKTYPE_IPCXN) {
    return CURL_SOCKET_BAD;
  }
  auto watched = std::make_shared<Watched>(multi->context);
  asio::error_code error;
  const auto protocol = address->family == AF_INET6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4();
  watched->socket.open(protocol, error);
  if (error) {
    return CURL_SOCKET_BAD;
  }
  ShowSilence(watched->socket, multi->acknowledge_limit);
  const curl_socket_t handle = watched->socket.native_handle();
  if (const auto stale = multi->sockets.find(handle); stale != multi->sockets.end()) {
    // Closed by libcurl within this same call: its registration must go before the new one is made.
    watched->socket.release(error);
    stale->second->wanted = CURL_POLL_NONE;
    stale->second->socket.release(error);
    multi->sockets.erase(stale);
    watched->socket.assign(protocol, handle, error);
    if (error) {
      return CURL_SOCKET_BAD;
    }
  }
  multi->sockets[handle] = std::move(watched);
  opened->sockets.push_back(handle);
  return handle;
}

int CurlMulti::CloseSocket(void* self, curl_socket_t socket) {
  auto* const multi = static_cast<CurlMulti*>(self);
  const auto found = multi->sockets.find(socket);
  if (found != multi->sockets.end()) {
    asio::error_code ignored;
    found->second->wanted = CURL_POLL_NONE;
    found->second->socket.close(ignored);
    multi->sockets.erase(found);
  }
  return 0;
}

int CurlMulti::SocketCallback(CURL* /*easy*/, curl_socket_t socket, int what, void* self,
                              void* /*data*/) {
  auto* const multi = static_cast<CurlMulti*>(self);
  const auto found = multi->sockets.find(socket);
  if (found == multi->sockets.end()) {
    return 0;
  }
  found->second->wanted = what == CURL_POLL_REMOVE ? CURL_POLL_NONE : what;
  multi->Watch(found->second);
  return 0;
}

int CurlMulti::TimerCallback(CURLM* /*multi*/, long timeout_ms,  // NOLINT(google-runtime-int)
                             void* self) {
  auto* const multi = static_cast<CurlMulti*>(self);
  if (timeout_ms < 0) {
    multi->timer.cancel();
    return 0;
  }
  multi->timer.expires_after(std::chrono::milliseconds(timeout_ms));
  multi->timer.async_wait([multi, alive = multi->alive](const asio::error_code& error) {
    if (!error && *alive) {
      multi->Act(CURL_SOCKET_TIMEOUT, 0);
    }
  });
  return 0;
}

void CurlMulti::Watch(const WatchedPointer& watched) {
  if (WantsRead(watched->wanted) && !watched->reading) {
    this->WaitFor(watched, true);
  }
  if (WantsWrite(watched->wanted) && !watched->writing) {
    this->WaitFor(watched, false);
  }
}

void CurlMulti::WaitFor(const WatchedPointer& watched, bool read) {
  (read ? watched->reading : watched->writing) = true;
  const auto kind = read ? asio::ip::tcp::socket::wait_read : asio::ip::tcp::socket::wait_write;
  watched->socket.async_wait(
      kind, [this, alive = this->alive, watched, read](const asio::error_code& error) {
        if (*alive) {
          this->OnReady(watched, read, static_cast<bool>(error));
        }
      });
}

void CurlMulti::OnReady(const WatchedPointer& watched, bool read, bool failed) {
  (read ? watched->reading : watched->writing) = false;
  const bool wanted = read ? WantsRead(watched->wanted) : WantsWrite(watched->wanted);
  if (!wanted || !watched->socket.is_open()) {
    return;
  }
  const int events = failed ? CURL_CSELECT_ERR : read ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
  this->Act(watched->socket.native_handle(), events);
  if (watched->socket.is_open()) {
    this->Watch(watched);
  }
}

void CurlMulti::Act(curl_socket_t socket, int events) {
  int running = 0;
  curl_multi_socket_action(this->multi, socket, events, &running);
  this->CollectFinished();
}

void CurlMulti::CollectFinished() {
  int remaining = 0;
  const auto still_alive = this->alive;
  while (*still_alive) {
    const CURLMsg* message = curl_multi_info_read(this->multi, &remaining);
    if (message == nullptr) {
      return;
    }
    if (message->msg == CURLMSG_DONE) {
      CURL* const easy = message->easy_handle;
      const CURLcode result = message->data.result;
      this->ForgetUnconnected(easy);
      this->finished(easy, result);
    }
  }
}

}  // namespace amaranthlatch::runtime::details
