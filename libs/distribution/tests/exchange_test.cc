// Tests of pushes, digests, reader takeover, read backoff and snapshots.

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "amaranthlatch/utils/hash.h"
#include "cluster.h"
#include "snapshot_collector.h"

namespace amaranthlatch::distribution::testing {

namespace {

void PublishMany(Cluster& cluster, int count) {
  for (int i = 0; i < count; ++i) {
    cluster.Publish("service-" + std::to_string(cluster.config.Head()), 0);
  }
}

void CheckConvergesWithin(Cluster& cluster, utils::Duration limit) {
  const bool converged = cluster.Converge(limit);
  CHECK_TEXT(converged, cluster.Describe().c_str());
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

Counters SumCounters(Cluster& cluster) {
  Counters sum;
  for (const Cluster::Node& node : cluster.Nodes()) {
    const Counters& counters = node.reducer->GetCounters();
    sum.patch_entries_received += counters.patch_entries_received;
    sum.log_reads += counters.log_reads;
    sum.reader_takeovers += counters.reader_takeovers;
    sum.snapshots_written += counters.snapshots_written;
    sum.snapshots_read += counters.snapshots_read;
    sum.snapshots_installed += counters.snapshots_installed;
    sum.state_hash_mismatches += counters.state_hash_mismatches;
    sum.digests_sent += counters.digests_sent;
    sum.pushes_sent += counters.pushes_sent;
  }
  return sum;
}

// A single reducer; the test sends the messages of the other members of its zone.
struct SingleNode {
  explicit SingleNode(std::size_t zone_size, const Options& options = {}) {
    for (std::size_t i = 0; i < zone_size; ++i) {
      membership::Member member;
      member.id = "10.0.0." + std::to_string(i + 1) + ":7000";
      member.region = "r0";
      member.zone = "r0z0";
      member.boot_id = i + 1;
      this->members.push_back(member);
    }
    this->view = std::make_unique<FakeMemberView>(this->members, this->members[0].id);
    this->reducer = std::make_unique<Distribution>(std::move(*Distribution::Create(options)));
  }

  std::vector<Effect> Receive(const membership::NodeId& from, Message message) {
    return this->reducer->Reduce(PeerMessage{from, std::move(message)}, this->now, *this->view);
  }

  // Pushes records of new services at offsets 1 to `count`, sent by the second member.
  void PushRecords(std::size_t count) {
    EntriesPush push;
    for (std::size_t i = 1; i <= count; ++i) {
      const nlohmann::json record = MakeRecord("service-" + std::to_string(i), i, 0, 1'000);
      this->state.Apply(i, record).value();
      push.entries.push_back(MakeEntry(i, record));
    }
    this->Receive(this->members[1].id, push);
  }

  static Entry MakeEntry(Offset offset, const nlohmann::json& record) {
    const auto bytes = nlohmann::json::to_cbor(record);
    const std::string_view text(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    return Entry{offset, record, 0, utils::Hash64(text)};
  }

  std::vector<membership::Member> members;
  std::unique_ptr<FakeMemberView> view;
  std::unique_ptr<Distribution> reducer;
  utils::Timestamp now{utils::Seconds(1)};
  acceptance::State state;
};

template <typename T>
std::size_t CountSent(const std::vector<Effect>& effects, const membership::NodeId& to) {
  return static_cast<std::size_t>(
      std::count_if(effects.begin(), effects.end(), [&to](const Effect& effect) {
        const auto* send = std::get_if<SendMessage>(&effect);
        return send != nullptr && send->to == to && std::holds_alternative<T>(send->message);
      }));
}

}  // namespace

TEST_GROUP(Exchange){};

// Guards against sending full records where a JSON patch suffices.
TEST(Exchange, SecondVersionsAreSentAsPatches) {
  Cluster cluster(21, 1, 1, 6);
  PublishMany(cluster, 1);
  CheckConvergesWithin(cluster, utils::Seconds(9));
  LONGS_EQUAL(0, SumCounters(cluster).patch_entries_received);
  // By then only one reader is active: another candidate may read while the first one starts.
  cluster.Run(utils::Seconds(12));
  cluster.Publish("service-0", 1);
  CheckConvergesWithin(cluster, utils::Seconds(1));
  LONGS_EQUAL(5, SumCounters(cluster).patch_entries_received);
}

// Guards against slow propagation of changes after the reader of a region has failed.
TEST(Exchange, AnotherReaderTakesOver) {
  Cluster cluster(22, 1, 2, 4);
  PublishMany(cluster, 1);
  CheckConvergesWithin(cluster, utils::Seconds(9));
  const std::uint64_t reader_takeovers = SumCounters(cluster).reader_takeovers;
  cluster.Run(utils::Seconds(12));
  LONGS_EQUAL(reader_takeovers, SumCounters(cluster).reader_takeovers);
  std::size_t reader = 0;
  for (std::size_t i = 0; i < cluster.Nodes().size(); ++i) {
    const auto reads = [&](std::size_t at) {
      return cluster.Nodes()[at].reducer->GetCounters().log_reads;
    };
    reader = reads(i) > reads(reader) ? i : reader;
  }
  cluster.Kill(reader);
  PublishMany(cluster, 1);
  CheckConvergesWithin(cluster, utils::Milliseconds(2'500));
}

// Guards against missing backoff of reads while the log is unavailable.
TEST(Exchange, ReadsBackOffWhileTheLogIsDown) {
  Cluster cluster(23, 1, 1, 1);
  CheckConvergesWithin(cluster, utils::Seconds(9));
  cluster.fault.log_down = true;
  const std::uint64_t before = SumCounters(cluster).log_reads;
  cluster.Run(utils::Seconds(60));
  const std::uint64_t reads = SumCounters(cluster).log_reads - before;
  // About 40 per stream with the maximum backoff of 2 s with jitter.
  CHECK_TRUE(reads >= 20 && reads <= 120);
}

// Guards against any peer traffic with kPoll, and against excessive digest traffic of idle nodes.
TEST(Exchange, IdleNodesSendOnlyDigestsAndPollingNodesNothing) {
  for (const SpreadKind spread : {SpreadKind::kPoll, SpreadKind::kTree}) {
    Options options;
    options.spread = spread;
    Cluster cluster(24, 1, 1, 6, options);
    PublishMany(cluster, 1);
    CheckConvergesWithin(cluster, utils::Seconds(9));
    const std::uint64_t messages = cluster.message_count;
    const std::uint64_t digests = SumCounters(cluster).digests_sent;
    cluster.Run(utils::Seconds(20));
    const std::uint64_t sent = cluster.message_count - messages;
    if (spread == SpreadKind::kPoll) {
      LONGS_EQUAL(0, sent);
    } else {
      // Each of six nodes once a second, plus the reader's heartbeats to the other candidates.
      CHECK_TRUE(SumCounters(cluster).digests_sent - digests >= 100);
      CHECK_TRUE(sent <= 20 * (6 + 2 * 4) * 5 / 4);
    }
  }
  CHECK_TRUE(nlohmann::json::to_cbor(ToJson(Digest{123'456, ~std::uint64_t{0}})).size() <= 16);
}

// Guards against a cluster that cannot restart after the log was truncated, and against writers
// whose snapshots of the same offset differ.
TEST(Exchange, SnapshotStreamRestoresRestartedCluster) {
  Options options;
  options.snapshot_max_lag = 20;
  Cluster cluster(25, 2, 1, 4, options);
  PublishMany(cluster, 40);
  CheckConvergesWithin(cluster, utils::Seconds(9));
  cluster.Run(utils::Seconds(8));
  CHECK_TRUE(SumCounters(cluster).snapshots_written > 0);
  // After the restart, the next writer writes a snapshot of the same offset.
  cluster.snapshots.records.push_back({{"format", 1}, {"offset", 900}});
  const std::vector<nlohmann::json> first = cluster.snapshots.records;
  cluster.snapshots.records.clear();
  for (std::size_t i = 0; i < cluster.Nodes().size(); ++i) {
    cluster.Kill(i);
    cluster.Start(i);
  }
  CheckConvergesWithin(cluster, utils::Seconds(9));
  cluster.Run(utils::Seconds(10));
  CHECK_TRUE(cluster.snapshots.records[0] == first[0]);
  cluster.snapshots.records.insert(cluster.snapshots.records.end(), first.begin(), first.end());
  cluster.config.first_kept = 38;
  PublishMany(cluster, 3);
  for (std::size_t i = 0; i < cluster.Nodes().size(); ++i) {
    cluster.Kill(i);
    cluster.Start(i);
  }
  CheckConvergesWithin(cluster, utils::Seconds(9));
  CHECK_TRUE(SumCounters(cluster).snapshots_read > 0);
}

// Guards against installing snapshots that are incomplete, inconsistent or corrupted.
TEST(Exchange, OnlyCompleteUncorruptedSnapshotsAreUsed) {
  acceptance::State state;
  for (Offset offset = 1; offset <= 3; ++offset) {
    state.Apply(offset, MakeRecord("s" + std::to_string(offset), offset, 0, 1'000)).value();
  }
  details::Snapshot snapshot = details::EncodeSnapshot(state);
  // Splits the only chunk in two, so that one can be missing.
  const std::string whole = snapshot.chunks[0];
  snapshot.chunks = {whole.substr(0, 100), whole.substr(100)};
  details::SnapshotCollector collector;
  CHECK_TRUE(collector.Add(details::MakeSnapshotRecord(snapshot, 1)));
  CHECK_FALSE(collector.TakeNewest().has_value());
  nlohmann::json inconsistent = details::MakeSnapshotRecord(snapshot, 0);
  inconsistent["count"] = 3;
  CHECK_FALSE(collector.Add(inconsistent));
  CHECK_FALSE(collector.Add({{"format", 2}}));
  CHECK_FALSE(collector.Add("text"));
  CHECK_TRUE(collector.Add(details::MakeSnapshotRecord(snapshot, 0)));
  details::Snapshot taken = *collector.TakeNewest();
  CHECK_TRUE(details::DecodeSnapshot(taken).has_value());
  taken.chunks[1].back() ^= 1;
  CHECK_TRUE(details::DecodeSnapshot(taken).error().code ==
             utils::ErrorCode::kSnapshotHashMismatch);
  taken.chunks[1].back() ^= 1;
  taken.offset = 4;
  CHECK_FALSE(details::DecodeSnapshot(taken).has_value());
}

// Guards against memory and bandwidth exhaustion by too many concurrent snapshot transfers.
TEST(Exchange, LimitsConcurrentSnapshotTransfers) {
  SingleNode sender(8);
  // Random text compresses badly, so the snapshot exceeds one chunk.
  EntriesPush push;
  utils::Random random(5);
  for (Offset offset = 1; offset <= 120; ++offset) {
    nlohmann::json record = MakeRecord("s" + std::to_string(offset), offset, 0, 1'000);
    std::string random_text;
    for (int i = 0; i < 60; ++i) {
      random_text += std::to_string(random.Next()) + "x";
    }
    record["document"]["owner"] = random_text.substr(0, 60);
    for (std::size_t i = 0; i < 25; ++i) {
      const std::string version = "v" + std::to_string(random.Next());
      record["document"]["versions"][version]["labels"]["release"] =
          random_text.substr(i * 20U, 120);
    }
    push.entries.push_back(SingleNode::MakeEntry(offset, record));
  }
  sender.Receive(sender.members[1].id, push);
  LONGS_EQUAL(120, sender.reducer->Held());
  std::size_t deferred = 0;
  for (std::size_t i = 1; i <= 6; ++i) {
    const auto effects = sender.Receive(sender.members[i].id, SnapshotRequest{});
    deferred += CountSent<SnapshotRetryLater>(effects, sender.members[i].id);
  }
  LONGS_EQUAL(2, deferred);
}

// Guards against accepting entries from a node whose state has diverged.
TEST(Exchange, EntriesOfADivergedNodeAreRejected) {
  SingleNode node(4);
  node.PushRecords(2);
  const membership::NodeId& other = node.members[2].id;
  const auto effects = node.Receive(other, Digest{2, node.state.Hash() + 1});
  LONGS_EQUAL(1, node.reducer->GetCounters().state_hash_mismatches);
  EntriesPush push;
  push.previous = 2;
  push.entries = {SingleNode::MakeEntry(3, MakeRecord("service-3", 3, 0, 1'000))};
  node.Receive(other, push);
  LONGS_EQUAL(2, node.reducer->Held());
  node.Receive(node.members[1].id, push);
  LONGS_EQUAL(3, node.reducer->Held());
}

// Guards against applying entries after a gap, and against applying a corrupted patch.
TEST(Exchange, EntriesAfterGapsAndCorruptedPatchesAreNotApplied) {
  SingleNode node(4);
  node.PushRecords(1);
  const membership::NodeId& peer = node.members[1].id;
  EntriesPush push;
  push.previous = 2;
  push.entries = {SingleNode::MakeEntry(3, MakeRecord("service-3", 3, 0, 1'000))};
  LONGS_EQUAL(1, CountSent<EntriesAck>(node.Receive(peer, push), peer));
  LONGS_EQUAL(1, node.reducer->Held());
  LONGS_EQUAL(1, node.reducer->GetCounters().entry_gaps);
  push.previous = 1;
  push.entries = {SingleNode::MakeEntry(2, MakeRecord("service-1", 2, 1, 1'500))};
  push.entries[0].patch_base = 1;
  push.entries[0].record["document"] = {
      {{"op", "copy"}, {"from", "/routes"}, {"path", "/routes/0"}}};
  LONGS_EQUAL(1, CountSent<EntriesRequest>(node.Receive(peer, push), peer));
  LONGS_EQUAL(1, node.reducer->Held());
  LONGS_EQUAL(1, node.reducer->GetCounters().patch_mismatches);
}

// Guards against processing messages of non-members other than the requests of a starting node.
TEST(Exchange, NonMembersMayOnlyJoin) {
  SingleNode node(3);
  node.PushRecords(2);
  const membership::NodeId non_member = "10.9.9.9:7000";
  LONGS_EQUAL(1, CountSent<HeldReply>(node.Receive(non_member, HeldQuery{}), non_member));
  LONGS_EQUAL(1, CountSent<SnapshotChunk>(node.Receive(non_member, SnapshotRequest{}), non_member));
  LONGS_EQUAL(0, CountSent<EntriesPush>(node.Receive(non_member, EntriesRequest{}), non_member));
  EntriesPush push;
  push.previous = 2;
  push.entries = {SingleNode::MakeEntry(3, MakeRecord("service-3", 3, 0, 1'000))};
  node.Receive(non_member, push);
  LONGS_EQUAL(2, node.reducer->Held());
  LONGS_EQUAL(2, node.reducer->GetCounters().non_member_messages);
}

// Guards against queueing messages for a slow peer, and against delaying pushes to the others.
TEST(Exchange, OnePushInFlightPerPeer) {
  Options options;
  options.fanout = 8;
  SingleNode node(4, options);
  std::map<membership::NodeId, std::size_t> pushes;
  for (Offset offset = 1; offset <= 5; ++offset) {
    EntriesPush push;
    push.previous = offset - 1;
    push.entries = {SingleNode::MakeEntry(
        offset, MakeRecord("service-" + std::to_string(offset), offset, 0, 1'000))};
    const auto effects = node.Receive(node.members[1].id, push);
    for (const membership::Member& member : node.members) {
      pushes[member.id] += CountSent<EntriesPush>(effects, member.id);
    }
    if (offset == 3) {
      const auto more = node.Receive(node.members[3].id, EntriesAck{1});
      pushes[node.members[3].id] += CountSent<EntriesPush>(more, node.members[3].id);
    }
  }
  for (const auto& [id, count] : pushes) {
    CHECK_TRUE(count <= (id == node.members[3].id ? 2 : 1));
  }
}

// Guards against endless pushes to a peer that cannot apply them, for example because it stopped at
// a record of unknown format.
TEST(Exchange, PushesToPeerWithoutProgressBackOff) {
  SingleNode node(4);
  node.PushRecords(2);
  const membership::NodeId& peer = node.members[2].id;
  const Digest digest{0, acceptance::State().Hash()};
  node.Receive(peer, EntriesAck{0});
  const auto first = node.Receive(peer, digest);
  LONGS_EQUAL(1, CountSent<EntriesPush>(first, peer));
  node.Receive(peer, EntriesAck{0});
  LONGS_EQUAL(0, CountSent<EntriesPush>(node.Receive(peer, digest), peer));
  node.now += utils::Milliseconds(1'100);
  LONGS_EQUAL(1, CountSent<EntriesPush>(node.Receive(peer, digest), peer));
}

}  // namespace amaranthlatch::distribution::testing
