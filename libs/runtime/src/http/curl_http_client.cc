// Exchanges in flight: start, silence, cancellation, outcome.

#include "amaranthlatch/runtime/curl_http_client.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amaranthlatch/runtime/connection_probe.h"
#include "http/curl_multi.h"
#include "http/curl_transfer.h"
#include "http/recent_names.h"

namespace amaranthlatch::runtime {

namespace {

using calls::BackendFailure;
using SteadyClock = std::chrono::steady_clock;

// Easy handles kept for later exchanges; each takes about 6 KB.
constexpr std::size_t kMaxIdleHandles = 64;

}  // namespace

std::string_view ToString(Framing framing) {
  switch (framing) {
    case Framing::kNone:
      return "none";
    case Framing::kLength:
      return "length";
    case Framing::kChunked:
      return "chunked";
    case Framing::kConnectionEnd:
      return "connection-end";
  }
  return "unknown";
}

class CurlHttpClient::Impl {
 public:
  Impl(asio::io_context& context, CurlHttpClientOptions options)
      : context(context),
        options(options),
        buffers(options.max_buffered_bytes),
        multi(context, options.max_connections, options.acknowledge_limit,
              [this](CURL* easy, CURLcode result) { this->OnFinished(easy, result); }) {}

  ~Impl() {
    *this->alive = false;
    for (auto& [id, pending] : this->pending) {
      this->multi.Remove(pending->transfer.Easy());
      curl_easy_cleanup(pending->transfer.Easy());
    }
    for (CURL* easy : this->idle) {
      curl_easy_cleanup(easy);
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start(std::uint64_t id, HttpExchange exchange, Done done) {
    CURL* const easy = this->TakeHandle();
    if (easy == nullptr) {
      this->Fail(std::move(done), {BackendFailure::kNotConnected, false, "out of memory"});
      return;
    }
    auto entry = std::make_unique<Pending>(this->context, easy, std::move(exchange), this->buffers,
                                           this->options);
    entry->done = std::move(done);
    const HttpExchange& started = entry->transfer.Exchange();
    if (!started.echo_name.empty() && this->echo_values.Add(started.echo_value)) {
      entry->transfer.RequireNewConnection();
    }
    if (started.needs_new_connection || this->MayBeSilent(started)) {
      entry->transfer.RequireNewConnection();
    }
    if (!this->multi.Add(easy)) {
      curl_easy_cleanup(easy);
      this->Fail(std::move(entry->done), {BackendFailure::kNotConnected, false, "not started"});
      return;
    }
    Pending& pending = *(this->pending[id] = std::move(entry));
    this->ids[easy] = id;
    this->WatchForSilence(id, pending);
  }

  void LimitConnections(std::size_t max_connections) { this->multi.Limit(max_connections); }

  const HttpClientCounters& Counters() const { return this->counters; }

  bool IsReceiving(std::uint64_t id) const {
    const auto found = this->pending.find(id);
    return found != this->pending.end() && found->second->transfer.HasFirstByte();
  }

  void Cancel(std::uint64_t id) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      return;
    }
    this->NoteSilence(found->second->transfer);
    Done done = std::move(found->second->done);
    this->Release(id);
    this->Fail(std::move(done), {BackendFailure::kCancelled, false, "cancelled"});
  }

 private:
  struct Pending {
    Pending(asio::io_context& context, CURL* easy, HttpExchange exchange,
            details::ResponseBuffers& buffers, const CurlHttpClientOptions& options)
        : transfer(easy, std::move(exchange), buffers, options.max_header_bytes,
                   options.connect_limit),
          silence_timer(context) {}

    details::CurlTransfer transfer;
    Done done;
    asio::steady_timer silence_timer;
    // A new connection worked while this one gave no byte.
    bool silent = false;
  };

  CURL* TakeHandle() {
    if (this->idle.empty()) {
      return curl_easy_init();
    }
    CURL* const easy = this->idle.back();
    this->idle.pop_back();
    return easy;
  }

  // Takes the transfer off libcurl; an unfinished one loses its connection.
  void Release(std::uint64_t id) {
    const auto found = this->pending.find(id);
    CURL* const easy = found->second->transfer.Easy();
    this->multi.Remove(easy);
    this->ids.erase(easy);
    this->pending.erase(found);
    if (this->idle.size() < kMaxIdleHandles) {
      curl_easy_reset(easy);
      this->idle.push_back(easy);
    } else {
      curl_easy_cleanup(easy);
    }
  }

  void Fail(Done done, HttpFailure failure) {
    asio::post(this->context, [done = std::move(done), failure = std::move(failure)] {
      done(tl::unexpected(failure));
    });
  }

  void OnFinished(CURL* easy, CURLcode result) {
    const auto id = this->ids.find(easy);
    if (id == this->ids.end()) {
      return;
    }
    Pending& entry = *this->pending.at(id->second);
    HttpOutcome outcome = entry.transfer.Outcome(result);
    this->Count(entry.transfer, outcome);
    if (!outcome) {
      this->NoteSilence(entry.transfer);
    }
    const bool silent = entry.silent && !entry.transfer.HasFirstByte();
    const std::string address = entry.transfer.Exchange().address;
    Done done = std::move(entry.done);
    this->Release(id->second);
    if (outcome) {
      done(std::move(outcome));
      return;
    }
    this->Report(std::move(done), std::move(outcome.error()), address, silent);
  }

  void NoteSilence(const details::CurlTransfer& transfer) {
    if (transfer.Exchange().silence_is_shared && !transfer.HasFirstByte()) {
      this->silence_noted[transfer.Exchange().address] = SteadyClock::now();
    }
  }

  // Whether a connection that was open when silence was noted could still be used again: none is
  // after its longest idle time.
  bool MayBeSilent(const HttpExchange& exchange) {
    const auto noted = this->silence_noted.find(exchange.address);
    if (noted == this->silence_noted.end()) {
      return false;
    }
    if (SteadyClock::now() - noted->second > exchange.max_idle) {
      this->silence_noted.erase(noted);
      return false;
    }
    return true;
  }

  void Count(const details::CurlTransfer& transfer, const HttpOutcome& outcome) {
    if (!outcome) {
      this->counters.answers_foreign += transfer.IsForeign() ? 1 : 0;
      this->counters.answers_incomplete += transfer.HasFirstByte() && !transfer.IsForeign() ? 1 : 0;
      return;
    }
    switch (transfer.GetFraming()) {
      case Framing::kChunked:
        ++this->counters.answers_chunked;
        break;
      case Framing::kConnectionEnd:
        ++this->counters.answers_until_connection_end;
        break;
      case Framing::kNone:
      case Framing::kLength:
        ++this->counters.answers_with_length;
        break;
    }
  }

  // Tells a lost connection from a dead process by trying a new connection.
  void Report(Done done, HttpFailure failure, const std::string& address, bool silent) {
    if (failure.failure == BackendFailure::kTooLarge) {
      this->Fail(std::move(done), std::move(failure));
      return;
    }
    ProbeConnection(
        this->context, address, this->options.connect_limit, {},
        [done = std::move(done), failure = std::move(failure), silent](ProbeResult result) mutable {
          failure.process_dead = result == ProbeResult::kRefused;
          if (silent && result == ProbeResult::kAccepted) {
            failure.failure = BackendFailure::kSilent;
          }
          done(tl::unexpected(std::move(failure)));
        });
  }

  void WatchForSilence(std::uint64_t id, Pending& entry) {
    const utils::Duration limit = entry.transfer.Exchange().silent_after;
    if (limit == utils::Duration::zero()) {
      return;
    }
    entry.silence_timer.expires_after(limit);
    entry.silence_timer.async_wait([this, alive = this->alive, id](const asio::error_code& error) {
      if (!error && *alive) {
        this->OnNoFirstByte(id);
      }
    });
  }

  void OnNoFirstByte(std::uint64_t id) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end() || found->second->transfer.HasFirstByte()) {
      return;
    }
    CURL* const easy = found->second->transfer.Easy();
    ProbeConnection(this->context, found->second->transfer.Exchange().address,
                    this->options.connect_limit, {},
                    [this, alive = this->alive, id, easy](ProbeResult result) {
                      if (*alive) {
                        this->OnSilenceProbed(id, easy, result);
                      }
                    });
  }

  void OnSilenceProbed(std::uint64_t id, const CURL* easy, ProbeResult result) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end() || found->second->transfer.Easy() != easy) {
      return;
    }
    Pending& entry = *found->second;
    if (entry.transfer.HasFirstByte() || result != ProbeResult::kAccepted) {
      return;
    }
    entry.silent = true;
    this->NoteSilence(entry.transfer);
    if (entry.transfer.Exchange().repeatable) {
      Done done = std::move(entry.done);
      this->Release(id);
      this->Fail(std::move(done), {BackendFailure::kSilent, false, "the connection was silent"});
    }
  }

  asio::io_context& context;
  CurlHttpClientOptions options;
  details::ResponseBuffers buffers;
  details::CurlMulti multi;
  std::unordered_map<std::uint64_t, std::unique_ptr<Pending>> pending;
  std::unordered_map<CURL*, std::uint64_t> ids;
  std::vector<CURL*> idle;
  details::RecentNames echo_values;
  HttpClientCounters counters;
  // By address; when an exchange that shares its silence last ended without a byte.
  std::unordered_map<std::string, SteadyClock::time_point> silence_noted;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

utils::Result<std::unique_ptr<CurlHttpClient>> CurlHttpClient::Create(
    asio::io_context& context, CurlHttpClientOptions options) {
  // Repeated initialisation only counts up.
  if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
    return utils::Fail(utils::ErrorCode::kHttpFailed, "libcurl does not initialise");
  }
  return std::unique_ptr<CurlHttpClient>(
      new CurlHttpClient(std::make_unique<Impl>(context, options)));
}

CurlHttpClient::CurlHttpClient(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

CurlHttpClient::~CurlHttpClient() = default;

void CurlHttpClient::Start(std::uint64_t id, HttpExchange exchange, Done done) {
  this->impl->Start(id, std::move(exchange), std::move(done));
}

void CurlHttpClient::LimitConnections(std::size_t max_connections) {
  this->impl->LimitConnections(max_connections);
}

bool CurlHttpClient::IsReceiving(std::uint64_t id) const { return this->impl->IsReceiving(id); }

const HttpClientCounters& CurlHttpClient::Counters() const { return this->impl->Counters(); }

void CurlHttpClient::Cancel(std::uint64_t id) { this->impl->Cancel(id); }

}  // namespace amaranthlatch::runtime
