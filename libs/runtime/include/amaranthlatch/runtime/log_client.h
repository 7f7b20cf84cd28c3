// The platform log's HTTP protocol (docs/design.md section 4).

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "amaranthlatch/distribution/effect.h"
#include "amaranthlatch/distribution/event.h"
#include "amaranthlatch/runtime/http_client.h"

namespace amaranthlatch::runtime {

class LogClient {
 public:
  using Event = std::variant<distribution::LogRead, distribution::LogReadFailed,
                             distribution::LogAppendDone, distribution::LogAppendFailed>;
  using Report = std::function<void(Event)>;

  // `client` must outlive this object; its exchange ids are used by this object alone.
  LogClient(HttpClient& client, std::string address, Report report);

  void Read(const distribution::ReadLog& read);
  void Append(const distribution::AppendLog& append);

 private:
  void OnRead(const distribution::ReadLog& read, const HttpOutcome& outcome);

  HttpClient& client;
  const std::string address;
  const Report report;
  std::uint64_t last_exchange = 0;
};

// Decodes the answer to a read; exposed for tests.
LogClient::Event DecodeLogRead(const distribution::ReadLog& read,
                               const calls::HttpResponse& response);
LogClient::Event DecodeLogAppend(std::uint64_t request, const calls::HttpResponse& response);

}  // namespace amaranthlatch::runtime
