// Time and size limits at the target size of docs/design.md section 1.5.

#include <CppUTest/TestHarness.h>

#include <ctime>
#include <string>

#include "amaranthlatch/acceptance/state.h"
#include "record_fixture.h"

namespace amaranthlatch::acceptance {

namespace {

constexpr int kServices = 1200;

std::string ServiceName(int index) { return "service-" + std::to_string(index); }

// A document of about 2 KB with a route to the service of the next lower index.
nlohmann::json MakeLargeDocument(int index) {
  nlohmann::json document = MakeDocument(ServiceName(index));
  const nlohmann::json route = document["routes"][0];
  for (int i = 1; i < 14; ++i) {
    nlohmann::json other = route;
    other["name"] = "route-" + std::to_string(i);
    other["path_prefix"] = "/route-" + std::to_string(i);
    document["routes"].push_back(other);
  }
  if (index > 0) {
    document["routes"][0]["split"][0]["service"] = ServiceName(index - 1);
  }
  return document;
}

State MakeState(int services) {
  State state;
  for (int i = 0; i < services; ++i) {
    state.Apply(state.HeadOffset() + 1,
                MakePutRecord("first-" + std::to_string(i), MakeLargeDocument(i), 0));
  }
  return state;
}

// CPU time of this process. Unlike wall time, it does not include waiting for other processes.
double CpuMicroseconds() {
  return static_cast<double>(std::clock()) * 1e6 / static_cast<double>(CLOCKS_PER_SEC);
}

// Mean CPU time to copy, change and query a state with `services` services.
double MeanMicrosecondsPerChange(int services) {
  constexpr int kChanges = 1000;
  State state = MakeState(services);
  CHECK_EQUAL(static_cast<std::size_t>(services), state.Services().size());
  const double start = CpuMicroseconds();
  for (int i = 0; i < kChanges; ++i) {
    const State copy = state;
    const int index = i % services;
    const document::Version base = state.FindAccepted(ServiceName(index))->version;
    const auto record =
        MakePutRecord("second-" + std::to_string(i), MakeLargeDocument(index), base);
    const auto verdict = state.Apply(state.HeadOffset() + 1, record);
    CHECK_TRUE(verdict->outcome == Outcome::kAccepted);
    CHECK_TRUE(state.Match(ServiceName(index) + ".example", "/readings", "GET").has_value());
  }
  return (CpuMicroseconds() - start) / kChanges;
}

}  // namespace

TEST_GROUP(StateSize){};

// Guards against a change that copies all documents or indexes, and a lookup that scans them. With
// 100 times the services, the cost may grow only with the depth of the maps.
TEST(StateSize, ApplyAndMatchAreFastAtTheTargetSize) {
  const double small = MeanMicrosecondsPerChange(kServices / 100);
  const double large = MeanMicrosecondsPerChange(kServices);
  CHECK_TRUE(large < 4 * small);
#ifndef __SANITIZE_ADDRESS__
  // The 1 ms limit applies to the deployed program, which runs without AddressSanitizer.
  CHECK_TRUE(large < 1000);
#endif
}

// Guards against histories and publish ids that grow without bound, and a publish id that is
// evicted too early.
TEST(StateSize, HistoryAndPublishIdsAreBounded) {
  State state;
  for (std::size_t i = 1; i <= kMaxPublishIds + 1; ++i) {
    state.Apply(i, MakeRemoveRecord("p" + std::to_string(i), "none", 0));
  }
  CHECK_EQUAL(kMaxVerdictsPerService, state.History("none").size());
  CHECK_TRUE(state.History("none").back().offset == kMaxPublishIds + 1);
  CHECK_FALSE(state.FindVerdictByPublishId("p1").has_value());
  CHECK_TRUE(state.FindVerdictByPublishId("p2").has_value());
  const auto decoded = State::DecodeSnapshot(state.EncodeSnapshot());
  CHECK_TRUE(decoded->Hash() == state.Hash());
}

// Guards against memory exhaustion by the histories of records for services that do not exist.
TEST(StateSize, HistoriesOfServicesWithoutDocumentAreBounded) {
  State state;
  state.Apply(1, MakePutRecord("kept", MakeDocument("kept"), 0));
  for (std::size_t i = 2; i <= kMaxServicesWithHistory + 2; ++i) {
    const std::string name = "s" + std::to_string(i);
    state.Apply(i, MakeRemoveRecord(name, name, 0));
  }
  CHECK_EQUAL(1, state.History("kept").size());
  CHECK_EQUAL(0, state.History("s2").size());
  CHECK_EQUAL(0, state.History("s3").size());
  CHECK_EQUAL(1, state.History("s4").size());
  CHECK_TRUE(State::DecodeSnapshot(state.EncodeSnapshot())->Hash() == state.Hash());
}

}  // namespace amaranthlatch::acceptance
