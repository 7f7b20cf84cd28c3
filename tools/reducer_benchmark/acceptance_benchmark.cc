// Acceptance: folds, lookups and checks of a state with many services.

#include <string>
#include <vector>

#include "amaranthlatch/acceptance/publish_record.h"
#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/node/invariants.h"
#include "benchmark.h"

namespace amaranthlatch::benchmark {

namespace {

constexpr std::size_t kRepeats = 500;
constexpr std::size_t kRoutes = 6;

std::string ServiceName(std::size_t number) { return "service-" + std::to_string(number); }

// A document of about 2 KB; each service refers to the one before it.
nlohmann::json MakeRecord(std::size_t service, std::size_t publish, document::Version base) {
  nlohmann::json routes = nlohmann::json::array();
  for (std::size_t i = 0; i < kRoutes; ++i) {
    nlohmann::json split = nlohmann::json::array();
    split.push_back({{"version", "stable"}, {"weight", 95}});
    if (service > 0) {
      split.push_back(
          {{"service", ServiceName(service - 1)}, {"version", "stable"}, {"weight", 5}});
    }
    routes.push_back({{"name", "route-" + std::to_string(i)},
                      {"path_prefix", "/path-" + std::to_string(i)},
                      {"methods", {"GET", "POST"}},
                      {"split", split},
                      {"idempotent", true},
                      {"priority", "normal"},
                      {"deadline_ms", 1'000 + publish % 1'000}});
  }
  acceptance::PublishRecord record;
  record.publish_id = "publish-" + std::to_string(publish);
  record.service = ServiceName(service);
  record.base_version = base;
  record.author = "operator";
  record.published_at = "2024-01-01T00:00:00Z";
  record.document = {{"format", 1},
                     {"service", record.service},
                     {"owner", "team"},
                     {"hosts", {record.service + ".example"}},
                     {"versions", {{"stable", {{"labels", {{"release", "1"}}}}}}},
                     {"routes", routes}};
  return acceptance::ToJson(record);
}

}  // namespace

nlohmann::json MeasureAcceptance(std::size_t services) {
  if (services == 0) {
    return nullptr;
  }
  acceptance::State state;
  const std::size_t before = HeapBytes();
  std::size_t publish = 0;
  std::vector<document::Version> versions(services);
  const auto apply = [&](std::size_t service) {
    const auto record = MakeRecord(service, publish++, versions[service]);
    const auto verdict = state.Apply(state.HeadOffset() + 1, record);
    versions[service] = verdict->offset;
  };
  for (std::size_t service = 0; service < services; ++service) {
    apply(service);
  }
  const std::size_t bytes = HeapBytes() - before;
  const double build = MeasureMicroseconds(
      kRepeats, [&](std::size_t i) { MakeRecord(i % services, i, versions[i % services]); });
  const double change = MeasureMicroseconds(kRepeats, [&](std::size_t i) { apply(i % services); });
  const double match = MeasureMicroseconds(kRepeats, [&](std::size_t i) {
    state.Match(ServiceName(i % services) + ".example", "/path-3/x", "GET");
  });
  node::InvariantChecker invariants;
  std::vector<node::InvariantViolated> violations;
  double checks = 0;
  for (std::size_t i = 0; i < kRepeats; ++i) {
    apply(i % services);
    checks += MeasureMicroseconds(
        1, [&](std::size_t) { invariants.CheckState(state, state.HeadOffset(), violations); });
  }
  return {{"services", services},
          {"apply_us", change - build},
          {"match_us", match},
          {"invariant_check_of_changed_state_us", checks / static_cast<double>(kRepeats)},
          {"violations", violations.size()},
          {"bytes_per_service", static_cast<double>(bytes) / static_cast<double>(services)}};
}

}  // namespace amaranthlatch::benchmark
