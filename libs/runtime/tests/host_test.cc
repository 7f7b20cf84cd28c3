// Tests of whole nodes in one process: two hosts, the stand-in for the log, a scripted backend
// server.

#include "amaranthlatch/runtime/host.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <regex>
#include <set>
#include <string>

#include "amaranthlatch/runtime/backend_server_link.h"
#include "amaranthlatch/runtime/endpoint.h"
#include "amaranthlatch/runtime/log_line.h"
#include "amaranthlatch/runtime/wall_clock.h"
#include "standins/platform_log/log_service.h"
#include "test_support.h"

namespace amaranthlatch::runtime {

namespace {

const char* const document_json = R"({"format":1,"service":"field-log","owner":"records-team",
  "hosts":["field-log.example"],"versions":{"stable":{"labels":{}}},
  "routes":[{"name":"all","path_prefix":"/","methods":["POST"],
    "split":[{"version":"stable","weight":1}],"idempotent":false,"permit_required":false,
    "priority":"interactive","deadline_ms":2000,"max_request_bytes":65536,
    "max_response_bytes":1048576}],
  "protection":{"slots":20,"connections":110,"queue_length":100,"queue_ms":500,
    "retry_budget_percent":10,"max_attempts":3,"slow_start_ms":100},
  "locality":{"prefer":"zone","spill_load_percent":80}})";

struct TestHost {
  TestHost(asio::io_context& context, const std::string& log, const std::string& seed) {
    this->settings = *ParseSettings(nlohmann::json{
        {"node_address", FreeAddress()},
        {"data_address", FreeAddress()},
        {"admin_address", FreeAddress()},
        {"region", "north"},
        {"zone", "ondangwa"},
        {"log_address", log},
        {"seeds", {seed}},
        {"secret", "0123456789abcdef"},
        {"log_level", "error"},
        {"join_jitter_ms", 10}}.dump());
    SetUpLogging(this->settings.log_level);
    this->host = *Host::Create(context, this->settings,
                               [this](StopReason reason) { this->stopped = reason; });
    this->host->Start();
  }

  Settings settings;
  std::optional<StopReason> stopped;
  std::unique_ptr<Host> host;
};

std::set<std::string> NamesIn(const std::string& text, const std::regex& pattern) {
  std::set<std::string> names;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
    names.insert((*it)[1].str());
  }
  return names;
}

}  // namespace

TEST_GROUP(HostTest) {
  std::shared_ptr<asio::io_context> context = std::make_shared<asio::io_context>(1);
  standins::LogService log{*context};
  std::string log_address = FreeAddress();
  standins::SimpleServer log_server{
      context, "127.0.0.1", ParseEndpoint(log_address)->port(),
      [this](const auto& request, const auto& respond) { log.Handle(request, respond); }};

  // Sends one request and gives back the whole answer.
  std::string Ask(const std::string& address, const std::string& method, const std::string& target,
                  const std::string& body) {
    RawCaller caller(*context, ParseEndpoint(address)->port());
    caller.Write(method + " " + target + " HTTP/1.1\r\nHost: field-log.example\r\n" +
                 "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
    CHECK_TRUE(RunUntil(*context, [&caller] { return caller.Poll(); }));
    return caller.received;
  }

  bool Has(const std::string& address, const std::string& method, const std::string& target,
           const std::string& body, const std::string& text) {
    return Ask(address, method, target, body).find(text) != std::string::npos;
  }

  // Repeats the request until the answer has the text.
  void Expect(const std::string& address, const std::string& method, const std::string& target,
              const std::string& body, const std::string& text) {
    for (int attempt = 0; attempt < 100; ++attempt) {
      if (Has(address, method, target, body, text)) {
        return;
      }
      RunFor(*context, std::chrono::milliseconds(50));
    }
    FAIL(text.c_str());
  }
};

// Guards against a call that gets lost between the parts, and against a drain that does not end.
TEST(HostTest, CarriesCallsThroughTwoNodesAndDrains) {
  ScriptedServer backend(*context, [](ScriptedServer::Connection& connection, int) {
    connection.Write("HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndone");
  });
  TestHost gate(*context, log_address, FreeAddress());
  TestHost entry(*context, log_address, gate.settings.node_address);
  const nlohmann::json record = {{"format", 1},
                                 {"publish_id", "p1"},
                                 {"service", "field-log"},
                                 {"base_version", nullptr},
                                 {"author", "team"},
                                 {"published_at", FormatWallTime(WallTimeMilliseconds())},
                                 {"action", "put"},
                                 {"document", nlohmann::json::parse(document_json)}};
  CHECK_TRUE(Has(log_address, "POST", "/streams/config/records", record.dump(), "201"));
  const nlohmann::json server = {{"service", "field-log"},
                                 {"address", backend.Address()},
                                 {"labels", nlohmann::json::object()},
                                 {"slots", 20},
                                 {"connections", 110}};
  Expect(gate.settings.admin_address, "POST", "/backend-server", server.dump(), "\"ready\"");
  Expect(entry.settings.admin_address, "GET", "/status", "", "\"field-log\": 1");
  Expect(entry.settings.data_address, "POST", "/blocks", "block", "Amaranthlatch-Result: answered");
  LONGS_EQUAL(1, backend.requests);
  CHECK_TRUE(Has(entry.settings.data_address, "POST", "/blocks", "block", "done"));
  CHECK_FALSE(
      Has(entry.settings.data_address, "POST", "/blocks", "block", "amaranthlatch-backend"));
  CHECK_TRUE(Has(entry.settings.data_address, "GET", "/", "", "Amaranthlatch-Code: 5001"));
  CHECK_TRUE(Has(entry.settings.admin_address, "GET", "/audit?service=field-log", "", "\"team\""));
  CHECK_TRUE(Has(entry.settings.admin_address, "GET", "/documents/field-log", "", "records-team"));
  CHECK_TRUE(Has(entry.settings.admin_address, "GET", "/metrics", "",
                 "amaranthlatch_call_added_seconds_count 3"));
  CHECK_TRUE(Has(gate.settings.admin_address, "POST", "/drain", "", "draining"));
  CHECK_TRUE(RunUntil(*context, [&gate] { return gate.stopped.has_value(); }));
  CHECK_TRUE(*gate.stopped == StopReason::kDrained);
  CHECK_TRUE(
      Has(entry.settings.data_address, "POST", "/blocks", "x", "Amaranthlatch-Result: not-run"));
  LONGS_EQUAL(3, backend.requests);
}

// Guards against metrics that operators cannot look up, and against rows about metrics that are
// gone.
TEST(HostTest, DocumentsEveryMetric) {
  TestHost seed(*context, log_address, FreeAddress());
  TestHost node(*context, log_address, seed.settings.node_address);
  // Counters by kind appear with the first message, which goes to the seed.
  Expect(node.settings.admin_address, "GET", "/metrics", "", "message_bytes_by_region_total");
  const std::string text = Ask(node.settings.admin_address, "GET", "/metrics", "");
  const std::set<std::string> given =
      NamesIn(text, std::regex("# TYPE amaranthlatch_([a-z_]+) [a-z]+"));
  std::ifstream page("docs/metrics.md");
  std::set<std::string> documented;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `")) {
      documented.merge(NamesIn(line.substr(0, line.find(" | ")), std::regex("`([a-z_]+)`")));
    }
  }
  CHECK_FALSE(given.empty());
  for (const std::string& name : given) {
    CHECK_TEXT(documented.contains(name), ("not in docs/metrics.md: " + name).c_str());
  }
  for (const std::string& name : documented) {
    CHECK_TEXT(given.contains(name), ("no such metric: " + name).c_str());
  }
}

// Guards against an announcement that is half understood.
TEST(HostTest, RefusesMalformedAnnouncements) {
  const std::string valid = R"({"service":"s","address":"127.0.0.1:1","labels":{"a":"b"},"slots":1,
    "connections":2})";
  CHECK_TRUE(ParseBackendServer(valid).has_value());
  const auto pointer_of = [&valid](const std::string& from, const std::string& to) {
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    const auto parsed = ParseBackendServer(text);
    return parsed ? std::string("accepted") : parsed.error().pointer;
  };
  STRCMP_EQUAL("/slots", pointer_of("\"slots\":1", "\"slots\":0").c_str());
  STRCMP_EQUAL("/connections", pointer_of("\"connections\":2", "\"connections\":\"2\"").c_str());
  STRCMP_EQUAL("/address", pointer_of("127.0.0.1", "localhost").c_str());
  STRCMP_EQUAL("/labels", pointer_of("\"b\"", "7").c_str());
  STRCMP_EQUAL("/labels", pointer_of("\"labels\"", "\"label\"").c_str());
}

// Guards against wrong ages of records in the convergence histogram.
TEST(HostTest, ReadsWallTime) {
  CHECK_TRUE(ParseWallTime("2026-12-04T10:56:54.123Z") ==
             ParseWallTime("2026-12-04T10:56:54Z").value() + 123);
  STRCMP_EQUAL("2026-12-04T10:56:54.123Z",
               FormatWallTime(*ParseWallTime("2026-12-04T10:56:54.123Z")).c_str());
  CHECK_FALSE(ParseWallTime("yesterday").has_value());
  CHECK_FALSE(ParseWallTime("2026-12-04T10:56:54+01:00").has_value());
}

}  // namespace amaranthlatch::runtime
