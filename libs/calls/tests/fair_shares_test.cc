// Tests of the shares of workspaces in the queues of gates.

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "fair_queue.h"
#include "mesh.h"
#include "property_test.h"

namespace amaranthlatch::calls::testing {

using details::AdmittedCall;
using details::FairQueue;
using details::QueueMeasure;
using details::QueueOrder;
using utils::Milliseconds;
using utils::Seconds;
using utils::Timestamp;

TEST_GROUP(FairShares){};

namespace {

AdmittedCall MakeCall(const std::string& workspace, double weight, std::uint64_t key) {
  AdmittedCall call;
  call.key = key;
  call.request.workspace = workspace;
  call.weight = weight;
  return call;
}

// The weight of a generated workspace, which its name contains.
double WeightOf(int workspace) { return 0.5 * (1 + workspace % 4); }

// Number of answered calls of each workspace in 12 s. All workspaces together send 1.2 times the
// capacity of three backend servers, and the first one `hot_factor` times its usual besides.
std::vector<int> Serve(int hot_factor) {
  constexpr int kWorkspaces = 80;
  constexpr int kRounds = 12 * 18;
  constexpr int kWarmUpRounds = 2 * 18;
  // 18 calls a second of each workspace.
  constexpr utils::Duration kInterval{694};
  Options options;
  options.gate.adaptive_concurrency_limit = false;
  options.entry.max_uncounted_moves = 3;
  Mesh mesh(3, 7, options);
  document::ServiceDocument document = FleetDocument();
  FindRoute(document, "write")->target_latency = Milliseconds(250);
  document.protection.queue_length = 256;
  mesh.routes.Set(document);
  for (std::size_t node = 0; node < 3; ++node) {
    mesh.nodes[node].backend.service_time = Milliseconds(10);
    mesh.nodes[node].backend.reports_time = true;
    mesh.SetPolicy(node, std::make_unique<ExpectedTimePolicy>(ExpectedTimePolicy::Costs{}));
  }
  mesh.prepare = [](CallReceived& received) {
    received.workspace = received.request.body.substr(0, received.request.body.find('-'));
  };
  utils::Random random(5);
  int calls = 0;
  const auto send = [&](int workspace) {
    mesh.Call(random.Uniform(3), "/write",
              std::to_string(workspace) + "-" + std::to_string(++calls));
  };
  int warm_up_calls = 0;
  for (int i = 0; i < kRounds * kWorkspaces; ++i) {
    const int workspace = i % kWorkspaces;
    warm_up_calls = i == kWarmUpRounds * kWorkspaces ? calls : warm_up_calls;
    for (int copy = 0; copy < (workspace == 0 ? hot_factor : 1); ++copy) {
      send(workspace);
    }
    mesh.RunFor(kInterval);
  }
  mesh.RunFor(Seconds(3));
  STRCMP_EQUAL("", mesh.FirstError().c_str());
  std::vector<int> answered(kWorkspaces);
  for (const auto& [call, outcome] : mesh.Outcomes()) {
    if (call > static_cast<std::uint64_t>(warm_up_calls) &&
        outcome.answer->kind == ResultKind::kAnswered) {
      ++answered[std::stoul(outcome.body)];
    }
  }
  return answered;
}

}  // namespace

// Guards against shares that differ from the weights, an order within a workspace other than that
// of its latency deadlines, and calls counted as ahead of a new one that then go behind it.
TEST(FairShares, QueueServesWorkspacesByWeight) {
  CHECK_TRUE(HoldsProperty(1, 200, [] {
    FairQueue queue;
    const int workspaces = *rc::gen::inRange(1, 6);
    std::uint64_t arrival = 0;
    std::map<std::string, double> served;
    std::map<std::string, Timestamp> latest;
    const auto push = [&](int workspace) {
      const Timestamp deadline{Milliseconds(*rc::gen::inRange(0, 9))};
      AdmittedCall call = MakeCall(std::to_string(workspace), WeightOf(workspace), ++arrival);
      call.latency_deadline = deadline;
      queue.Push({deadline, arrival}, std::move(call));
    };
    for (int i = 0; i < 60 * workspaces; ++i) {
      push(i % workspaces);
    }
    const std::size_t removed = queue.Size();
    const AdmittedCall next = MakeCall("0", WeightOf(0), ++arrival);
    std::size_t ahead = 0;
    queue.ForEachAhead("0", next.weight, next.latency_deadline,
                       [&](const AdmittedCall& /*call*/, double count) {
                         RC_ASSERT(count >= 1.0);
                         ++ahead;
                       });
    FairQueue with_next = queue;
    with_next.Push({next.latency_deadline, arrival}, next);
    std::size_t popped = 0;
    while (with_next.Pop().key != next.key) {
      ++popped;
    }
    // Workspaces that are due at the same time may go before or after the new call.
    RC_ASSERT(popped <= ahead && ahead <= popped + static_cast<std::size_t>(workspaces));
    // As long as each workspace has calls left, the shares are exact to one call.
    for (int i = 0; i < 20 * workspaces; ++i) {
      const AdmittedCall call = queue.Pop();
      served[call.request.workspace] += 1.0 / call.weight;
      RC_ASSERT(call.latency_deadline >= latest[call.request.workspace]);
      latest[call.request.workspace] = call.latency_deadline;
    }
    for (const auto& [workspace, time] : served) {
      RC_ASSERT(time <= served.at("0") + 1.0 / WeightOf(0) + 1.0 / WeightOf(std::stoi(workspace)));
      RC_ASSERT(served.size() == static_cast<std::size_t>(workspaces));
    }
    RC_ASSERT(queue.Size() == removed - static_cast<std::size_t>(20 * workspaces));
  }));
}

// Guards against a full queue that refuses a workspace with few calls in favour of one with many,
// and against a call of the largest workspace that displaces others.
TEST(FairShares, LargestWorkspaceGivesWay) {
  FairQueue queue;
  for (std::uint64_t i = 1; i <= 5; ++i) {
    queue.Push({Timestamp(Milliseconds(i)), i}, MakeCall("hot", 1.0, i));
  }
  queue.Push({{}, 6}, MakeCall("other", 1.0, 6));
  LONGS_EQUAL(5, queue.FindYielding(MakeCall("new", 1.0, 9), QueueMeasure::kCalls)->key);
  LONGS_EQUAL(5, queue.FindYielding(MakeCall("other", 1.0, 9), QueueMeasure::kCalls)->key);
  POINTERS_EQUAL(nullptr, queue.FindYielding(MakeCall("hot", 1.0, 9), QueueMeasure::kCalls));
  // With a small weight its one call is more than its share.
  POINTERS_EQUAL(nullptr, queue.FindYielding(MakeCall("light", 0.1, 9), QueueMeasure::kCalls));
}

// Guards against a workspace whose excess is paid by the others when capacity is short, at the
// gates or by refusals of the entry nodes.
TEST(FairShares, HotWorkspaceDoesNotCostOthers) {
  const std::vector<int> usual = Serve(1);
  const std::vector<int> hot = Serve(7);
  int usual_sum = 0;
  int hot_sum = 0;
  for (std::size_t i = 1; i < usual.size(); ++i) {
    usual_sum += usual[i];
    hot_sum += hot[i];
  }
  // Measured: 11942 and 11888 of 79 workspaces, 149 and 155 of the hot one. Without workspaces in
  // the calls: 11676 and 10953, 148 and 964.
  const std::string text = "usual " + std::to_string(usual_sum) + ", beside a hot one " +
                           std::to_string(hot_sum) + ", hot " + std::to_string(usual[0]) + " and " +
                           std::to_string(hot[0]);
  CHECK_TRUE_TEXT(hot_sum >= 0.95 * usual_sum, text.c_str());
  CHECK_TRUE_TEXT(hot[0] <= 2 * usual[0], text.c_str());
}

}  // namespace amaranthlatch::calls::testing
