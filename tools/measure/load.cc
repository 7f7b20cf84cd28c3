// Load of callers on a deployment.

#include "tools/measure/load.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "tools/support/http.h"

namespace amaranthlatch::tools {

namespace {

constexpr std::chrono::milliseconds kResendPause{20};
constexpr int kStatusOk = 200;
constexpr std::size_t kMaxViolationTexts = 5;

std::string KindName(CallKind kind) {
  switch (kind) {
    case CallKind::kRead:
      return "read";
    case CallKind::kOnce:
      return "once";
    case CallKind::kRecord:
      return "record";
  }
  return {};
}

// One caller: builds requests, sends them, and sorts the answers.
class Caller {
 public:
  Caller(const LoadOptions& options, std::uint32_t index, LoadResult& result)
      : options(options), index(index), result(result) {}

  void CallOnce() {
    this->sequence += 1;
    const std::string key = this->options.key_prefix + "-" + std::to_string(this->index) + "-" +
                            std::to_string(this->sequence);
    HttpCall call = this->BuildCall(key);
    if (this->options.kind == CallKind::kRecord && !this->FetchPermit(call)) {
      this->result.not_run += 1;
      this->result.codes["no-permit"] += 1;
      return;
    }
    HttpReply reply = this->Send(call);
    for (std::uint32_t i = 0; i < this->options.resends && this->ShouldResend(reply); ++i) {
      std::this_thread::sleep_for(kResendPause);
      // A refusal as not run ends its permit; the request may take a new one.
      const bool refused = reply.Header("amaranthlatch-result") == "not-run";
      if (refused && !this->RenewPermit(call)) {
        break;
      }
      reply = this->Send(call);
    }
    this->Sort(key, call, reply);
  }

 private:
  HttpCall BuildCall(const std::string& key) const {
    const std::string name = KindName(this->options.kind);
    HttpCall call;
    call.method = this->options.kind == CallKind::kRead ? "GET" : "POST";
    call.url = "/" + name + "/" + key;
    call.headers = this->options.headers;
    call.headers.push_back("Host: " + this->options.host);
    call.headers.push_back("X-Request-Key: " + key);
    if (call.method == "POST") {
      call.body = key + std::string(this->options.body_bytes, 'x');
    }
    call.timeout = this->options.timeout;
    return call;
  }

  std::string NextAddress() {
    const std::size_t position = (this->index + this->sends) % this->options.addresses.size();
    return this->options.addresses[position];
  }

  HttpReply Send(HttpCall call) {
    call.url = "http://" + this->NextAddress() + call.url;
    HttpReply reply = this->client.Send(call);
    if (this->options.kind == CallKind::kRecord) {
      // Resends go through another node.
      this->sends += 1;
    }
    return reply;
  }

  // Adds the permit as the last field.
  bool FetchPermit(HttpCall& call) {
    const nlohmann::json body = {
        {"host", this->options.host}, {"path", call.url}, {"method", "POST"}};
    for (std::uint32_t i = 0; i <= this->options.resends; ++i) {
      const HttpReply reply =
          this->client.Send({.method = "POST",
                             .url = "http://" + this->NextAddress() + "/amaranthlatch/permits",
                             .headers = {"Content-Type: application/json"},
                             .body = body.dump(),
                             .timeout = this->options.timeout});
      const nlohmann::json answer = nlohmann::json::parse(reply.body, nullptr, false);
      if (answer.is_object() && answer.contains("permit")) {
        call.headers.push_back("Amaranthlatch-Permit: " + answer.value("permit", std::string()));
        return true;
      }
      this->sends += 1;
      std::this_thread::sleep_for(kResendPause);
    }
    return false;
  }

  bool RenewPermit(HttpCall& call) {
    call.headers.pop_back();
    return this->FetchPermit(call);
  }

  bool ShouldResend(const HttpReply& reply) const {
    const bool answered = reply.Header("amaranthlatch-result") == "answered" && reply.status != 0;
    return this->options.kind == CallKind::kRecord && !answered;
  }

  void Sort(const std::string& key, const HttpCall& call, const HttpReply& reply) {
    const bool direct_success = this->options.direct && reply.status == kStatusOk;
    const std::string kind = direct_success ? "answered" : reply.Header("amaranthlatch-result");
    if (reply.status == 0) {
      (reply.refused ? this->result.refused : this->result.lost) += 1;
      this->result.codes[reply.refused ? "no-connection" : "no-answer"] += 1;
      return;
    }
    this->result.codes[reply.Header("amaranthlatch-code")] += 1;
    if (kind == "answered") {
      this->SortAnswered(key, call, reply);
    } else if (kind == "not-run") {
      this->result.not_run += 1;
      this->result.not_run_keys.push_back(key);
    } else {
      this->result.unknown += 1;
    }
  }

  void SortAnswered(const std::string& key, const HttpCall& call, const HttpReply& reply) {
    this->result.answered += 1;
    this->result.answered_keys.push_back(key);
    this->result.latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(reply.elapsed).count());
    const bool own = reply.Header("x-request-key") == key &&
                     reply.body == call.method + " " + call.url + "\n" + call.body;
    if (!own) {
      this->result.mismatched += 1;
    }
  }

  const LoadOptions& options;
  const std::uint32_t index;
  LoadResult& result;
  HttpClient client;
  std::uint64_t sequence = 0;
  std::uint64_t sends = 0;
};

void Merge(LoadResult& target, LoadResult& part) {
  target.answered += part.answered;
  target.not_run += part.not_run;
  target.unknown += part.unknown;
  target.refused += part.refused;
  target.lost += part.lost;
  target.mismatched += part.mismatched;
  for (const auto& [code, count] : part.codes) {
    target.codes[code] += count;
  }
  const auto append = [](auto& to, auto& from) { to.insert(to.end(), from.begin(), from.end()); };
  append(target.latencies_ms, part.latencies_ms);
  append(target.answered_keys, part.answered_keys);
  append(target.not_run_keys, part.not_run_keys);
}

}  // namespace

std::string LoadResult::CodesText() const {
  std::string text;
  for (const auto& [code, count] : this->codes) {
    text += (text.empty() ? "" : ", ") + code + ": " + std::to_string(count);
  }
  return text;
}

Load::Load(LoadOptions options)
    : options(std::move(options)),
      started(std::chrono::steady_clock::now()),
      results(this->options.threads) {
  for (std::uint32_t i = 0; i < this->options.threads; ++i) {
    this->threads.emplace_back([this, i] { this->RunThread(i); });
  }
}

Load::~Load() {
  if (!this->threads.empty()) {
    this->Stop();
  }
}

LoadResult Load::Stop() {
  this->stopping = true;
  LoadResult total;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
  total.seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - this->started).count();
  for (LoadResult& part : this->results) {
    Merge(total, part);
  }
  std::sort(total.latencies_ms.begin(), total.latencies_ms.end());
  return total;
}

LoadResult Load::RunFor(LoadOptions options, std::chrono::milliseconds duration) {
  Load load(std::move(options));
  std::this_thread::sleep_for(duration);
  return load.Stop();
}

void Load::RunThread(std::uint32_t index) {
  Caller caller(this->options, index, this->results[index]);
  const double rate = this->options.calls_per_second / this->options.threads;
  auto next = this->started;
  while (!this->stopping) {
    caller.CallOnce();
    if (rate > 0) {
      next += std::chrono::microseconds(static_cast<std::int64_t>(1e6 / rate));
      std::this_thread::sleep_until(next);
    }
  }
}

std::vector<std::string> CheckRuns(const LoadResult& result,
                                   const std::map<std::string, std::uint32_t>& runs,
                                   CallKind kind) {
  std::vector<std::string> violations;
  const auto report = [&violations](const std::string& text) {
    if (violations.size() < kMaxViolationTexts) {
      violations.push_back(text);
    }
  };
  const auto runs_of = [&runs](const std::string& key) {
    const auto found = runs.find(key);
    return found == runs.end() ? 0U : found->second;
  };
  for (const auto& [key, count] : runs) {
    if (kind != CallKind::kRead && count > 1) {
      report("request " + key + " ran " + std::to_string(count) + " times");
    }
  }
  for (const std::string& key : result.not_run_keys) {
    if (runs_of(key) > 0) {
      report("request " + key + " was refused as not run but ran");
    }
  }
  for (const std::string& key : result.answered_keys) {
    if (runs_of(key) == 0) {
      report("request " + key + " was answered but did not run");
    }
  }
  if (result.mismatched > 0) {
    report(std::to_string(result.mismatched) + " answers were not of their own request");
  }
  return violations;
}

}  // namespace amaranthlatch::tools
