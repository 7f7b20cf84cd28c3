// Announces the backend server to the node beside it.

#include "standins/backend_server/announcer.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

namespace amaranthlatch::standins {

namespace {

constexpr std::chrono::seconds kAnnounceInterval{1};
// libcurl takes long.
constexpr long kTimeoutMs = 1'000;  // NOLINT(google-runtime-int)

std::size_t Discard(char*, std::size_t size, std::size_t count, void*) { return size * count; }

void SendTo(const std::string& url, const char* method, const std::string& body) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                   &curl_easy_cleanup);
  curl_slist* headers = curl_slist_append(nullptr, "Content-Type: application/json");
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &Discard);
  // A failed announcement is repeated a second later.
  curl_easy_perform(handle.get());
  curl_slist_free_all(headers);
}

}  // namespace

Announcer::Announcer(const BackendOptions& options) {
  if (options.node_admin.empty()) {
    return;
  }
  this->url = "http://" + options.node_admin + "/backend-server";
  const nlohmann::json announcement = {{"service", options.service},
                                       {"address", options.ip + ":" + std::to_string(options.port)},
                                       {"labels", options.labels},
                                       {"slots", options.slots},
                                       {"connections", options.connections}};
  this->body = announcement.dump();
  this->thread = std::thread([this] { this->Run(); });
}

Announcer::~Announcer() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->stopped.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void Announcer::Leave() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->stopped.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
    SendTo(this->url, "DELETE", {});
  }
}

void Announcer::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    SendTo(this->url, "POST", this->body);
    lock.lock();
    this->stopped.wait_for(lock, kAnnounceInterval, [this] { return this->stopping; });
  }
}

}  // namespace amaranthlatch::standins
