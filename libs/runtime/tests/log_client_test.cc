// Tests of the log's protocol, of metrics and of the audit trail.

#include "amaranthlatch/runtime/log_client.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <nlohmann/json.hpp>
#include <optional>

#include "amaranthlatch/runtime/audit.h"
#include "amaranthlatch/runtime/metrics.h"
#include "property_test.h"

namespace amaranthlatch::runtime {

using distribution::LogRead;
using distribution::LogReadFailed;
using utils::ErrorCode;

namespace {

const distribution::ReadLog read_effect{7, distribution::Stream::kConfig, 5, 10, utils::Seconds(1)};

LogClient::Event Decode(int status, const std::string& body) {
  return DecodeLogRead(read_effect, {status, {}, body});
}

ErrorCode CodeOf(const LogClient::Event& event) {
  const auto* const failed = std::get_if<LogReadFailed>(&event);
  return failed == nullptr ? ErrorCode::kOk : failed->error.code;
}

// Answers each exchange with the next prepared outcome.
struct PreparedClient : HttpClient {
  void Start(std::uint64_t, HttpExchange exchange, Done done) override {
    this->targets.push_back(exchange.request.target);
    const HttpOutcome outcome = this->outcomes.front();
    this->outcomes.pop_front();
    done(outcome);
  }
  void LimitConnections(std::size_t) override {}
  bool IsReceiving(std::uint64_t /*id*/) const override { return false; }
  void Cancel(std::uint64_t) override {}

  std::deque<HttpOutcome> outcomes;
  std::vector<std::string> targets;
};

}  // namespace

TEST_GROUP(LogClientTest){};

// Guards against a wrong offset taken from an answer.
TEST(LogClientTest, DecodesRecords) {
  const auto event =
      Decode(200, R"({"first_kept":1,"head":6,"next":7,"records":[{"offset":5,"value":{"a":1}},
              {"offset":6,"value":null}]})");
  const LogRead expected{7, distribution::Stream::kConfig,  1, 6,
                         7, {{5, {{"a", 1}}}, {6, nullptr}}};
  CHECK_TRUE(std::get<LogRead>(event) == expected);
  CHECK_TRUE(CodeOf(Decode(200, R"({"first_kept":1,"head":4,"next":5,"records":[]})")) ==
             ErrorCode::kOk);
  CHECK_TRUE(CodeOf(Decode(200, R"({"first_kept":0,"head":0,"next":1,"records":[]})")) ==
             ErrorCode::kOk);
}

// Guards against a stuck reader or a skipped record after an answer of another shape.
TEST(LogClientTest, NamesTheFault) {
  CHECK_TRUE(CodeOf(Decode(200, "no json")) == ErrorCode::kLogMalformed);
  CHECK_TRUE(CodeOf(Decode(200, "[]")) == ErrorCode::kLogMalformed);
  CHECK_TRUE(CodeOf(Decode(200, R"({"first_kept":1,"head":6,"next":7,"records":[{"offset":4,
      "value":1}]})")) == ErrorCode::kLogMalformed);
  CHECK_TRUE(CodeOf(Decode(200, R"({"first_kept":1,"head":6,"next":9,"records":[]})")) ==
             ErrorCode::kLogMalformed);
  CHECK_TRUE(CodeOf(Decode(200, R"({"first_kept":-1,"head":6,"next":5,"records":[]})")) ==
             ErrorCode::kLogMalformed);
  CHECK_TRUE(CodeOf(Decode(503, "")) == ErrorCode::kLogUnavailable);
  CHECK_TRUE(CodeOf(Decode(429, "")) == ErrorCode::kLogUnavailable);
  CHECK_TRUE(CodeOf(Decode(404, "")) == ErrorCode::kLogMalformed);
  const auto truncated = Decode(410, R"({"first_kept":9})");
  CHECK_TRUE(CodeOf(truncated) == ErrorCode::kLogTruncated);
  CHECK_TRUE(std::get<LogReadFailed>(truncated).first_kept == 9);
  CHECK_TRUE(CodeOf(Decode(410, "{}")) == ErrorCode::kLogMalformed);
}

// Guards against one hostile record that stops all nodes: it must be refused, not retried for ever.
TEST(LogClientTest, ReplacesTooDeepRecords) {
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  const auto event = Decode(
      200, R"({"first_kept":1,"head":5,"next":6,"records":[{"offset":5,"value":)" + deep + "}]}");
  CHECK_TRUE(std::get<LogRead>(event).records[0].value.is_null());
}

// Guards against a reader that repeats the same too large read for ever.
TEST(LogClientTest, HalvesReadsThatAreTooLarge) {
  PreparedClient client;
  client.outcomes.push_back(
      tl::unexpected(HttpFailure{calls::BackendFailure::kTooLarge, false, "large"}));
  client.outcomes.push_back(
      calls::HttpResponse{200, {}, R"({"first_kept":1,"head":4,"next":5,"records":[]})"});
  std::optional<LogClient::Event> event;
  LogClient log(client, "127.0.0.1:1", [&event](const LogClient::Event& done) { event = done; });
  log.Read(read_effect);
  CHECK_TRUE(std::holds_alternative<LogRead>(*event));
  STRCMP_EQUAL("/streams/config/records?from=5&limit=10&wait_ms=1000", client.targets[0].c_str());
  STRCMP_EQUAL("/streams/config/records?from=5&limit=5&wait_ms=1000", client.targets[1].c_str());
}

// Guards against an append that is taken for written or for lost without proof.
TEST(LogClientTest, DecodesAppends) {
  const auto done = DecodeLogAppend(3, {201, {}, R"({"offset":12})"});
  CHECK_TRUE(std::get<distribution::LogAppendDone>(done).offset == 12);
  const auto failed = DecodeLogAppend(3, {200, {}, R"({"offset":12})"});
  CHECK_TRUE(std::get<distribution::LogAppendFailed>(failed).error.code ==
             ErrorCode::kLogMalformed);
}

// Guards against crashes and against records that break the order.
TEST(LogClientTest, RandomAnswersAreOrderedOrMalformed) {
  const std::string valid =
      R"({"first_kept":1,"head":9,"next":8,"records":[{"offset":5,"value":1},{"offset":7,"value":2}]})";
  CHECK_TRUE(HoldsProperty(12, 3000, [&valid](const std::string& noise, std::uint32_t position) {
    std::string text = valid;
    text.replace(position % text.size(), noise.size() % 5, noise);
    const auto event = Decode(200, text);
    if (const auto* const read = std::get_if<LogRead>(&event)) {
      distribution::Offset last = read_effect.from - 1;
      for (const auto& record : read->records) {
        RC_ASSERT(record.offset > last);
        last = record.offset;
      }
      RC_ASSERT(read->records.empty() || read->next > last);
    } else {
      RC_ASSERT(CodeOf(event) == ErrorCode::kLogMalformed);
    }
  }));
}

TEST_GROUP(MetricsTest){};

// Guards against buckets that are not cumulative and against a wrong quantile.
TEST(MetricsTest, WritesHistograms) {
  DurationHistogram histogram;
  for (int i = 0; i < 99; ++i) {
    histogram.Add(utils::Duration(150));
  }
  histogram.Add(utils::Seconds(100));
  CHECK_TRUE(histogram.Quantile(0.5) == utils::Duration(200));
  CHECK_TRUE(histogram.Quantile(1.0) == utils::Seconds(60));
  MetricsText text;
  text.Counter("calls_total", 3, "kind=\"a\"");
  text.Histogram("added_seconds", histogram);
  const std::string page = text.Take();
  CHECK_TRUE(page.find("# TYPE amaranthlatch_calls_total counter\n"
                       "amaranthlatch_calls_total{kind=\"a\"} 3\n") != std::string::npos);
  CHECK_TRUE(page.find("amaranthlatch_added_seconds_bucket{le=\"0.0002\"} 99\n") !=
             std::string::npos);
  CHECK_TRUE(page.find("amaranthlatch_added_seconds_bucket{le=\"+Inf\"} 100\n") !=
             std::string::npos);
}

// Guards against an audit trail that grows without bound or mixes services.
TEST(MetricsTest, BoundsTheAuditTrail) {
  AuditTrail trail(3);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    AuditEntry entry;
    entry.verdict.offset = i;
    entry.verdict.service = i % 2 == 0 ? "fleet" : "dispatch";
    trail.Add(entry);
  }
  LONGS_EQUAL(3, trail.Size());
  CHECK_TRUE(trail.ToJson("fleet").size() == 1 && trail.ToJson("fleet")[0]["offset"] == 4);
  CHECK_TRUE(trail.ToJson("").size() == 3);
}

}  // namespace amaranthlatch::runtime
