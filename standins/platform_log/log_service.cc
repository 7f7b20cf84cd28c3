// HTTP protocol of the stand-in for the platform's log.

#include "standins/platform_log/log_service.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace amaranthlatch::standins {

namespace {

using nlohmann::json;

constexpr std::size_t kDefaultLimit = 256;
constexpr std::size_t kMaxLimit = 1024;
constexpr std::chrono::milliseconds kMaxWait{60'000};
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::uint64_t NumberOr(const std::string& text, std::uint64_t fallback) {
  if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos ||
      text.size() > 18) {
    return fallback;
  }
  return std::stoull(text);
}

// The name in "/streams/NAME/records"; empty for other paths.
std::string StreamName(std::string_view path) {
  constexpr std::string_view kPrefix = "/streams/";
  constexpr std::string_view kSuffix = "/records";
  if (path.size() <= kPrefix.size() + kSuffix.size() || !path.starts_with(kPrefix) ||
      !path.ends_with(kSuffix)) {
    return {};
  }
  path.remove_prefix(kPrefix.size());
  path.remove_suffix(kSuffix.size());
  return std::string(path);
}

}  // namespace

void LogService::Handle(const Request& request, const Respond& respond) {
  if (request.path == "/faults" && request.method == "POST") {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      respond(Response{kBadRequest, "application/json", {}, R"({"error":"not an object"})"});
      return;
    }
    this->SetFaults(body);
    respond(Response{kOk, "application/json", {}, "{}"});
    return;
  }
  if (request.path == "/counters") {
    const json body = {{"appends", this->counters.appends},
                       {"reads", this->counters.reads},
                       {"records_read", this->counters.records_read},
                       {"bytes_read", this->counters.bytes_read},
                       {"refused", this->counters.refused}};
    respond(Response{kOk, "application/json", {}, body.dump()});
    return;
  }
  const std::string stream = StreamName(request.path);
  if (stream.empty()) {
    this->Reply(respond, kNotFound, {{"error", "unknown path"}});
    return;
  }
  this->HandleStream(stream, request, respond);
}

void LogService::HandleStream(const std::string& stream, const Request& request,
                              const Respond& respond) {
  if (this->faults.down) {
    this->counters.refused += 1;
    this->Reply(respond, kUnavailable, {{"error", "unavailable"}});
  } else if (request.method == "POST") {
    this->Append(stream, request, respond);
  } else {
    this->Read(stream, request, respond);
  }
}

void LogService::Append(const std::string& stream, const Request& request, const Respond& respond) {
  json value = json::parse(request.body, nullptr, false);
  if (value.is_discarded()) {
    this->Reply(respond, kBadRequest, {{"error", "body is not JSON"}});
    return;
  }
  if (!this->TakeAppendToken()) {
    this->counters.refused += 1;
    this->Reply(respond, kTooManyRequests, {{"error", "append rate exceeded"}});
    return;
  }
  const std::uint64_t offset = this->store.Append(stream, std::move(value));
  this->counters.appends += 1;
  if (this->faults.lost_answers > 0) {
    this->faults.lost_answers -= 1;
    this->Reply(respond, kUnavailable, {{"error", "unavailable"}});
  } else {
    this->Reply(respond, kCreated, {{"offset", offset}});
  }
  this->WakeWaiters(stream);
}

void LogService::Read(const std::string& stream, const Request& request, const Respond& respond) {
  const std::uint64_t from = std::max<std::uint64_t>(NumberOr(request.Query("from"), 1), 1);
  const std::size_t limit =
      std::clamp<std::size_t>(NumberOr(request.Query("limit"), kDefaultLimit), 1, kMaxLimit);
  const auto wait = std::min(
      kMaxWait,
      std::chrono::milliseconds(static_cast<std::int64_t>(NumberOr(request.Query("wait_ms"), 0))));
  this->counters.reads += 1;
  const StreamPage page = this->store.Read(stream, from, limit);
  if (page.records.empty() && !page.truncated && wait.count() > 0) {
    this->Wait(stream, from, limit, wait, respond);
    return;
  }
  this->AnswerPage(page, respond);
}

void LogService::Wait(const std::string& stream, std::uint64_t from, std::size_t limit,
                      std::chrono::milliseconds wait, const Respond& respond) {
  this->waiters.push_back(
      Waiter{stream, from, limit, respond, asio::steady_timer(this->context, wait)});
  const auto position = std::prev(this->waiters.end());
  position->timer.async_wait([this, position](const std::error_code& error) {
    if (error) {
      return;
    }
    const Waiter& waiter = *position;
    this->AnswerPage(this->store.Read(waiter.stream, waiter.from, waiter.limit), waiter.respond);
    this->waiters.erase(position);
  });
}

void LogService::WakeWaiters(const std::string& stream) {
  this->EndWaiters([&stream](const Waiter& waiter) { return waiter.stream == stream; },
                   [this](const Waiter& waiter) {
                     this->AnswerPage(this->store.Read(waiter.stream, waiter.from, waiter.limit),
                                      waiter.respond);
                   });
}

void LogService::EndWaiters(const std::function<bool(const Waiter&)>& selects,
                            const std::function<void(const Waiter&)>& answer) {
  for (auto it = this->waiters.begin(); it != this->waiters.end();) {
    // cancel() returns 0 where the timer's handler is already queued; that handler answers.
    if (!selects(*it) || it->timer.cancel() == 0) {
      ++it;
      continue;
    }
    answer(*it);
    it = this->waiters.erase(it);
  }
}

void LogService::AnswerPage(const StreamPage& page, const Respond& respond) {
  if (page.truncated) {
    this->Reply(respond, kGone, {{"first_kept", page.first_kept}});
    return;
  }
  json records = json::array();
  for (const StoredRecord& record : page.records) {
    records.push_back({{"offset", record.offset}, {"value", record.value}});
  }
  this->counters.records_read += page.records.size();
  this->Reply(respond, kOk,
              {{"first_kept", page.first_kept},
               {"head", page.head},
               {"next", page.next},
               {"records", std::move(records)}});
}

void LogService::SetFaults(const json& body) {
  this->faults.down = body.value("down", this->faults.down);
  this->faults.delay = std::chrono::milliseconds(
      body.value("delay_ms", static_cast<std::int64_t>(this->faults.delay.count())));
  this->faults.lost_answers = body.value("lost_answers", this->faults.lost_answers);
  this->faults.appends_per_second =
      body.value("appends_per_second", this->faults.appends_per_second);
  if (body.contains("keep_records")) {
    this->store.SetRetention(body.value("keep_records", std::size_t{0}));
  }
  if (!this->faults.down) {
    return;
  }
  // An outage also ends the reads that wait.
  this->EndWaiters([](const Waiter&) { return true; },
                   [this](const Waiter& waiter) {
                     this->Reply(waiter.respond, kUnavailable, {{"error", "unavailable"}});
                   });
}

bool LogService::TakeAppendToken() {
  const auto now = std::chrono::steady_clock::now();
  if (now - this->window_start >= std::chrono::seconds(1)) {
    this->window_start = now;
    this->window_appends = 0;
  }
  if (this->window_appends >= this->faults.appends_per_second) {
    return false;
  }
  this->window_appends += 1;
  return true;
}

void LogService::Reply(const Respond& respond, int status, const json& body) {
  Response response{status, "application/json", {}, body.dump()};
  this->counters.bytes_read += response.body.size();
  if (this->faults.delay.count() == 0) {
    respond(std::move(response));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(this->context, this->faults.delay);
  timer->async_wait([timer, respond, response = std::move(response)](const std::error_code&) {
    respond(response);
  });
}

}  // namespace amaranthlatch::standins
