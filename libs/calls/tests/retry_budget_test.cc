// Tests of the bound of the retries of a service over all nodes, on the simulated mesh.

#include "retry_budget.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

using utils::Milliseconds;
using utils::Seconds;

namespace {
constexpr int kFaultAt = 6;
constexpr int kSeconds = 20;
constexpr int kWindow = 10;
constexpr double kRatio = 0.2;
constexpr double kSlack = 56.0;
}  // namespace

// All servers refuse everything from second 6 on. Nodes earn half of the ratio and keep half of the
// slack, as in register mode.
TEST_GROUP(RetryBudget) {
  std::vector<int> calls = std::vector<int>(kSeconds);
  std::vector<int> repeats = std::vector<int>(kSeconds);

  static Options MakeOptions() {
    Options options;
    options.entry.retry_slack = kSlack / 2;
    options.gate.max_tracked_attempts = 1'000;
    options.gate.refusal_filter_bits = 1'024;
    return options;
  }
  static int Second(const Mesh& mesh, utils::Timestamp start) {
    return static_cast<int>((mesh.Now() - start) / Seconds(1));
  }
  // Offers calls at random nodes. Restarts `restarts` nodes a second.
  void Run(std::size_t nodes, int calls_per_second, int restarts) {
    Mesh mesh(nodes, 1, MakeOptions());
    document::ServiceDocument document = FleetDocument();
    document.protection.max_attempts = 2;
    mesh.routes.Set(document);
    const utils::Timestamp start = mesh.Now();
    mesh.filter = [&](std::size_t, std::size_t, const Message& message) {
      const auto* request = std::get_if<CallRequest>(&message);
      this->repeats[Second(mesh, start)] += request != nullptr && request->id.attempt > 1 ? 1 : 0;
      return true;
    };
    utils::Random random(1);
    for (int i = 0; i < kSeconds * calls_per_second; ++i) {
      mesh.At(Seconds(1) * i / calls_per_second, [&] {
        ++this->calls[Second(mesh, start)];
        mesh.Call(random.Uniform(nodes), "/write", "x");
      });
    }
    for (int i = 0; i < kSeconds * restarts; ++i) {
      mesh.At(Seconds(1) * i / restarts, [&] {
        const std::size_t node = random.Uniform(nodes);
        mesh.KillNode(node);
        mesh.StartNode(node);
      });
    }
    mesh.At(Seconds(kFaultAt), [&] {
      for (Node& node : mesh.nodes) {
        node.backend.mode = BackendMode::kShedding;
      }
    });
    mesh.RunFor(Seconds(kSeconds) - Milliseconds(1));
  }
  void CheckWindows() const {
    for (int from = 0; from + kWindow <= kSeconds; ++from) {
      int offered = 0;
      int repeated = 0;
      for (int second = from; second < from + kWindow; ++second) {
        offered += this->calls[second];
        repeated += this->repeats[second];
      }
      CHECK_TRUE(repeated <= kRatio * offered + kSlack);
    }
  }
  int RepeatsIn(int from, int to) const {
    int sum = 0;
    for (int second = from; second < to; ++second) {
      sum += this->repeats[second];
    }
    return sum;
  }
};

// Guards against bursts that exceed the slack because every node has one.
TEST(RetryBudget, SumHoldsWith75Nodes) {
  this->Run(75, 60, 0);
  this->CheckWindows();
  // What is earned is also spent.
  CHECK_TRUE(this->RepeatsIn(kFaultAt, kSeconds) > 60 * (kSeconds - kFaultAt) / 12);
}

// Guards against entry nodes that see too few calls of a service to ever retry one.
TEST(RetryBudget, SumHoldsWith300NodesThatSeeFewCalls) {
  this->Run(300, 40, 0);
  this->CheckWindows();
  CHECK_TRUE(this->RepeatsIn(kFaultAt, kSeconds) > 40 * (kSeconds - kFaultAt) / 12);
}

// Guards against nodes that get new tokens with every restart.
TEST(RetryBudget, SumHoldsWhileNodesRestart) {
  this->Run(75, 60, 30);
  this->CheckWindows();
}

// Guards against nested calls that fail because others have spent the tokens, and against tokens
// that are reserved although no nested calls come.
TEST(RetryBudget, NestedCallsGoFirst) {
  const auto grant = [](int nested_every) {
    const Options options = MakeOptions();
    details::RetryBudget budget(options.entry);
    utils::Random random(1);
    utils::Timestamp now(Seconds(1'000));
    std::array<int, 2> asked{};
    std::array<int, 2> granted{};
    for (int i = 1; i <= 5'000; ++i) {
      const bool is_nested = i % nested_every == 0;
      const auto priority =
          is_nested ? document::Priority::kInternal : document::Priority::kInteractive;
      now += Milliseconds(60);
      budget.OnCall("fleet", priority, 10, 75, now);
      if (random.Bernoulli(0.5)) {
        ++asked.at(is_nested);
        granted.at(is_nested) += budget.TrySpend("fleet", priority, 75, now, random) ? 1 : 0;
      }
    }
    return std::pair(1.0 * granted[0] / asked[0], 1.0 * granted[1] / std::max(1, asked[1]));
  };
  const auto [others, nested] = grant(10);
  CHECK_TRUE(nested > 0.9 && others > 0.05);
  CHECK_TRUE(grant(1'000'000).first > 0.18);
}

}  // namespace amaranthlatch::calls::testing
