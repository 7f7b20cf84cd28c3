// Directed tests of witnesses, readiness, rechecks after a pause, and unknown record formats.

#include <CppUTest/TestHarness.h>

#include "cluster.h"

namespace amaranthlatch::distribution::testing {

namespace {

void PublishMany(Cluster& cluster, int count) {
  for (int i = 0; i < count; ++i) {
    cluster.Publish("service-" + std::to_string(cluster.config.Head()), 0);
  }
}

void CheckConverges(Cluster& cluster, utils::Duration limit) {
  const bool converged = cluster.Converge(limit);
  CHECK_TEXT(converged, cluster.Describe().c_str());
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

// Returns the node with the most log reads, which is the reader in a cluster of one region.
std::size_t FindReader(Cluster& cluster) {
  std::size_t reader = 0;
  for (std::size_t i = 0; i < cluster.Nodes().size(); ++i) {
    const auto reads = [&](std::size_t at) {
      return cluster.Nodes()[at].reducer->GetCounters().log_reads;
    };
    reader = reads(i) > reads(reader) ? i : reader;
  }
  return reader;
}

}  // namespace

TEST_GROUP(Readiness){};

// Guards against serving an entry that no other node holds: the reader is cut off from its zone,
// receives one more entry and restarts during a log outage, which loses that entry.
TEST(Readiness, EntryWithoutWitnessesIsNotInForce) {
  Cluster cluster(11, 1, 1, 5);
  PublishMany(cluster, 3);
  CheckConverges(cluster, utils::Seconds(9));
  cluster.Run(utils::Seconds(12));
  const std::size_t reader = FindReader(cluster);
  const membership::NodeId id = cluster.Nodes()[reader].id;
  cluster.fault.is_partitioned = [id](const membership::Member& from,
                                      const membership::Member* to) {
    return to != nullptr && (from.id == id || to->id == id);
  };
  PublishMany(cluster, 1);
  cluster.Run(utils::Seconds(1));
  LONGS_EQUAL(4, cluster.Nodes()[reader].reducer->Held());
  LONGS_EQUAL(3, cluster.Nodes()[reader].reducer->InForce().HeadOffset());
  cluster.fault = FaultConfig{};
  cluster.fault.log_down = true;
  cluster.Kill(reader);
  cluster.Start(reader);
  cluster.Run(utils::Seconds(5));
  STRCMP_EQUAL("", cluster.Violation().c_str());
  CHECK_TRUE(cluster.Nodes()[reader].reducer->Ready());
}

// Guards against a restarted node that stays unready during a log outage although its zone can
// prove the state that it served before.
TEST(Readiness, ZoneProvesStateDuringLogOutage) {
  Cluster cluster(12, 1, 1, 5);
  PublishMany(cluster, 5);
  CheckConverges(cluster, utils::Seconds(9));
  cluster.fault.log_down = true;
  cluster.Run(utils::Seconds(1));
  cluster.Kill(0);
  cluster.Start(0);
  cluster.Run(utils::Seconds(5));
  CHECK_TRUE(cluster.Nodes()[0].reducer->Ready());
  LONGS_EQUAL(5, cluster.Nodes()[0].reducer->InForce().HeadOffset());
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

// Guards against nodes that serve an empty state after all of them restarted during a log outage.
TEST(Readiness, NoNodeIsReadyWithoutProvenState) {
  Cluster cluster(13, 1, 1, 4);
  PublishMany(cluster, 5);
  CheckConverges(cluster, utils::Seconds(9));
  cluster.fault.log_down = true;
  for (std::size_t i = 0; i < 4; ++i) {
    cluster.Kill(i);
    cluster.Start(i);
  }
  cluster.Run(utils::Seconds(20));
  for (const Cluster::Node& node : cluster.Nodes()) {
    CHECK_FALSE(node.reducer->Ready());
    STRCMP_CONTAINS("the log does not answer", node.reducer->Reason().c_str());
  }
  cluster.fault = FaultConfig{};
  CheckConverges(cluster, utils::Seconds(9));
}

// Guards against a resumed node that admits work before it has compared its state with its peers,
// and against one that never becomes ready again while it is partitioned.
TEST(Readiness, PausedNodeRechecksStateBeforeReady) {
  Cluster cluster(14, 1, 1, 4);
  PublishMany(cluster, 2);
  CheckConverges(cluster, utils::Seconds(9));
  for (const bool partitioned : {false, true}) {
    cluster.Pause(1, utils::Seconds(4));
    cluster.Run(utils::Seconds(3));
    PublishMany(cluster, 1);
    const membership::NodeId id = cluster.Nodes()[1].id;
    if (partitioned) {
      cluster.fault.is_partitioned = [id](const membership::Member& from,
                                          const membership::Member* to) {
        return from.id == id || (to != nullptr && to->id == id);
      };
    }
    bool rechecked = false;
    for (int i = 0; i < 800 && !(rechecked && cluster.Nodes()[1].reducer->Ready()); ++i) {
      cluster.Run(utils::Milliseconds(5));
      rechecked = rechecked || !cluster.Nodes()[1].reducer->Ready();
    }
    CHECK_TRUE(rechecked);
    CHECK_TRUE(cluster.Nodes()[1].reducer->Ready());
    cluster.fault = FaultConfig{};
    CheckConverges(cluster, utils::Seconds(9));
  }
  CHECK_TRUE(cluster.Nodes()[1].reducer->GetCounters().pauses >= 2);
}

// Guards against a node that skips a record of a newer release, reports it more than once, or stops
// serving because of it.
TEST(Readiness, UnknownFormatStopsOnlyEntryApplication) {
  Cluster cluster(15, 1, 2, 3);
  PublishMany(cluster, 4);
  CheckConverges(cluster, utils::Seconds(9));
  cluster.config.records.push_back({{"format", 2}});
  PublishMany(cluster, 2);
  cluster.Run(utils::Seconds(10));
  cluster.Kill(0);
  cluster.Start(0);
  cluster.Run(utils::Seconds(9));
  std::size_t stopped = 0;
  for (const Cluster::Node& node : cluster.Nodes()) {
    LONGS_EQUAL(4, node.reducer->Held());
    LONGS_EQUAL(4, node.reducer->InForce().HeadOffset());
    CHECK_TRUE(node.reducer->Ready());
    stopped += node.stopped ? 1 : 0;
    CHECK_TRUE(node.stopped == (node.reducer->StoppedAt() == Offset{5}));
  }
  CHECK_TRUE(stopped > 0);
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

// Guards against a single node that waits for witnesses that do not exist.
TEST(Readiness, SingleNodeNeedsNoWitnesses) {
  Cluster cluster(16, 1, 1, 1);
  PublishMany(cluster, 3);
  CheckConverges(cluster, utils::Seconds(9));
  LONGS_EQUAL(3, cluster.Nodes()[0].verdicts.size());
  CHECK_TRUE(cluster.Nodes()[0].verdicts[2].outcome == acceptance::Outcome::kAccepted);
}

// Guards against accepting both of two concurrent publishes, or a different one on each node.
TEST(Readiness, FirstRacingPublishIsAcceptedOnAllNodes) {
  Cluster cluster(17, 2, 1, 3);
  cluster.Publish("service-0", 0);
  cluster.Publish("service-0", 1);
  cluster.Publish("service-0", 1);
  CheckConverges(cluster, utils::Seconds(9));
  for (const Cluster::Node& node : cluster.Nodes()) {
    LONGS_EQUAL(2, node.reducer->InForce().FindAccepted("service-0")->version);
    const std::vector<acceptance::Verdict> history = node.reducer->InForce().History("service-0");
    CHECK_TRUE(history.back().code == utils::ErrorCode::kBaseVersionMismatch);
  }
}

}  // namespace amaranthlatch::distribution::testing
