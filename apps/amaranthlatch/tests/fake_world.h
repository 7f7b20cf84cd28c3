// A log, nodes and a machine in memory, with the faults that publishers meet.

#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/utils/clock.h"
#include "host.h"
#include "http_client.h"

namespace amaranthlatch::cli {

// What happens to the next append.
enum class AppendFault { kNone, kAnswerLost, kRecordLost, kNotConnected, kRateExceeded };

class FakeWorld final : public HttpClient, public Host {
 public:
  // Records of the streams; the first has offset 1.
  std::map<std::string, std::vector<nlohmann::json>> streams;
  std::map<std::string, acceptance::Offset> first_kept;
  // Faults of the coming appends, the next one first.
  std::vector<AppendFault> faults;
  bool log_down = false;
  bool log_down_after_append = false;
  // Offset in force of each node; others do not answer.
  std::map<std::string, acceptance::Offset> nodes;
  // Nodes that take one more record each time they are asked.
  std::set<std::string> catching_up;
  std::set<std::string> drained;
  std::map<std::string, std::string> files;
  int slept = 0;

  FakeWorld();

  tl::expected<HttpResponse, HttpFailure> Send(const HttpRequest& request) override;

  utils::Timestamp Now() const override { return this->clock.Now(); }
  void Sleep(utils::Duration duration) override;
  std::string WallTime() const override { return "2026-01-01T00:00:00Z"; }
  std::string NewPublishId() override;
  utils::Result<std::string> ReadFile(const std::string& path,
                                      std::size_t max_bytes) const override;

  // The state after the first `head` config records.
  acceptance::State Fold(acceptance::Offset head) const;

  // Appends the snapshot chunks of the current state.
  void WriteSnapshot();

 private:
  utils::ManualClock clock;
  int publish_ids = 0;

  HttpResponse ReadStream(const std::string& stream, const std::string& query) const;
  tl::expected<HttpResponse, HttpFailure> Append(const std::string& stream,
                                                 const nlohmann::json& value);
  HttpResponse AskNode(const std::string& address, const std::string& path);
};

}  // namespace amaranthlatch::cli
