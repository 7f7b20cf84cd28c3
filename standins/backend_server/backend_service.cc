// Behaviour of the stand-in for a backend server.

#include "standins/backend_server/backend_service.h"

#include <unistd.h>

#include <asio/post.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace amaranthlatch::standins {

namespace {

using nlohmann::json;

constexpr char kControlPrefix[] = "/stand-in/";
constexpr std::size_t kForwarderThreads = 16;
constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kCrashExitCode = 70;

std::string RequestKey(const Request& request) {
  const std::string key = request.Header("x-request-key");
  return key.empty() ? request.path : key;
}

std::optional<std::chrono::milliseconds> Deadline(const Request& request) {
  const std::string text = request.Header("amaranthlatch-deadline-ms");
  if (text.empty() || text.size() > 9 ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::stol(text));
}

Response JsonResponse(int status, const json& body) {
  return Response{status, "application/json", {}, body.dump()};
}

}  // namespace

BackendService::BackendService(asio::io_context& context, const BackendOptions& options)
    : context(context),
      options(options),
      started(std::chrono::steady_clock::now()),
      forwarder(kForwarderThreads) {
  if (!options.runs_file.empty()) {
    this->runs_file.open(options.runs_file, std::ios::app);
  }
}

void BackendService::Handle(const Request& request, const Respond& respond) {
  this->connections.insert(request.connection);
  if (this->silent_connections.contains(request.connection)) {
    return;
  }
  if (request.path == "/health") {
    respond(JsonResponse(kOk, {{"healthy", true}}));
  } else if (request.path == "/load") {
    const int load = this->faults.reported_load >= 0 ? this->faults.reported_load
                                                     : static_cast<int>(this->in_flight);
    respond(JsonResponse(kOk, {{"in_flight", load}, {"slots", this->options.slots}}));
  } else if (request.path.starts_with(kControlPrefix)) {
    this->HandleControl(request, respond);
  } else {
    this->Run(request, respond);
  }
}

void BackendService::WhenIdle(std::function<void()> done) {
  this->idle = std::move(done);
  if (this->in_flight == 0) {
    this->idle();
  }
}

void BackendService::HandleControl(const Request& request, const Respond& respond) {
  if (request.path == "/stand-in/runs") {
    respond(JsonResponse(kOk, {{"runs", this->runs},
                               {"total", this->total_runs},
                               {"shed", this->shed_count},
                               {"expired", this->expired_count}}));
    return;
  }
  if (request.path != "/stand-in/faults") {
    respond(JsonResponse(kNotFound, {{"error", "unknown path"}}));
    return;
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    respond(JsonResponse(kBadRequest, {{"error", "not an object"}}));
    return;
  }
  this->SetFaults(body);
  respond(JsonResponse(kOk, json::object()));
}

void BackendService::SetFaults(const json& body) {
  this->faults.shed = body.value("shed", this->faults.shed);
  this->faults.truncate = body.value("truncate", this->faults.truncate);
  this->faults.reported_load = body.value("reported_load", this->faults.reported_load);
  this->options.work = std::chrono::milliseconds(
      body.value("work_ms", static_cast<std::int64_t>(this->options.work.count())));
  if (body.value("silence_open_connections", false)) {
    this->silent_connections = this->connections;
  }
}

void BackendService::Run(const Request& request, const Respond& respond) {
  const bool full = this->options.slots > 0 && this->in_flight >= this->options.slots;
  if (this->faults.shed || full) {
    this->shed_count += 1;
    respond(Response{kUnavailable, "text/plain", {{"Amaranthlatch-Not-Run", "true"}}, "busy\n"});
    return;
  }
  this->RecordRun(request);
  if (!request.Header("x-crash").empty()) {
    _exit(kCrashExitCode);
  }
  this->in_flight += 1;
  this->Work(request, respond);
}

void BackendService::Work(const Request& request, const Respond& respond) {
  std::chrono::milliseconds work = this->WorkTime();
  const auto deadline = Deadline(request);
  const bool expires = deadline && *deadline < work;
  if (expires) {
    work = *deadline;
  }
  if (work.count() == 0) {
    this->Finish(request, respond);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(this->context, work);
  timer->async_wait([this, timer, request, respond, expires](const std::error_code&) {
    if (!expires) {
      this->Finish(request, respond);
      return;
    }
    this->expired_count += 1;
    this->in_flight -= 1;
    respond(Response{kGatewayTimeout, "text/plain", {}, "deadline exceeded\n"});
  });
}

void BackendService::Forward(const Request& request, const Respond& respond) {
  this->forwarder.Forward(request, [this, request, respond](bool answered) {
    asio::post(this->context, [this, request, respond, answered] {
      if (answered) {
        Request last = request;
        last.headers.emplace_back("x-chain-done", "true");
        this->Finish(last, respond);
        return;
      }
      this->in_flight -= 1;
      respond(Response{kBadGateway, "text/plain", {}, "the next hop did not answer\n"});
    });
  });
}

void BackendService::Finish(const Request& request, const Respond& respond) {
  if (Forwarder::HasNext(request) && request.Header("x-chain-done").empty()) {
    this->Forward(request, respond);
    return;
  }
  this->in_flight -= 1;
  if (!this->silent_connections.contains(request.connection)) {
    Response response{kOk, "text/plain", {}, request.method + " " + request.path + "\n"};
    response.body += request.body;
    response.headers.emplace_back("X-Request-Key", RequestKey(request));
    response.headers.emplace_back("X-Backend-Server",
                                  this->options.ip + ":" + std::to_string(this->options.port));
    response.truncate = this->faults.truncate;
    respond(std::move(response));
  }
  if (this->idle && this->in_flight == 0) {
    this->idle();
  }
}

void BackendService::RecordRun(const Request& request) {
  const std::string key = RequestKey(request);
  this->runs[key] += 1;
  this->total_runs += 1;
  if (this->runs_file.is_open()) {
    this->runs_file << key << '\n' << std::flush;
  }
}

std::chrono::milliseconds BackendService::WorkTime() const {
  const bool cold = std::chrono::steady_clock::now() - this->started < this->options.cold_time;
  return cold ? this->options.work + this->options.cold_work : this->options.work;
}

}  // namespace amaranthlatch::standins
