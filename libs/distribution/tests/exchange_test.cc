// Directed tests of pushes, digests, takeover, backoff and snapshots.

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

void CheckConverges(Cluster& cluster, utils::Duration limit) {
  const bool converged = cluster.Converge(limit);
  CHECK_TEXT(converged, cluster.Describe().c_str());
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

Counters Sum(Cluster& cluster) {
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

// One reducer of a zone whose other members are played by the test.
struct Single {
  explicit Single(std::size_t zone_size, const Options& options = {}) {
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

  // Pushes records of new services with offsets 1 to `count` from the second member.
  void Fill(std::size_t count) {
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

// Guards against changes that cross the mesh whole although a difference is enough.
TEST(Exchange, SecondVersionsTravelAsDifferences) {
  Cluster cluster(21, 1, 1, 6);
  PublishMany(cluster, 1);
  CheckConverges(cluster, utils::Seconds(9));
  LONGS_EQUAL(0, Sum(cluster).patch_entries_received);
  // A second reader, active while the first one starts, has stopped by then.
  cluster.Run(utils::Seconds(12));
  cluster.Publish("service-0", 1);
  CheckConverges(cluster, utils::Seconds(1));
  LONGS_EQUAL(5, Sum(cluster).patch_entries_received);
}

// Guards against a long wait for changes when the reader of a region is gone.
TEST(Exchange, AnotherReaderTakesOver) {
  Cluster cluster(22, 1, 2, 4);
  PublishMany(cluster, 1);
  CheckConverges(cluster, utils::Seconds(9));
  const std::uint64_t takeovers = Sum(cluster).reader_takeovers;
  cluster.Run(utils::Seconds(12));
  LONGS_EQUAL(takeovers, Sum(cluster).reader_takeovers);
  std::size_t reader = 0;
  for (std::size_t i = 0; i < cluster.Nodes().size(); ++i) {
    const auto reads = [&](std::size_t at) {
      return cluster.Nodes()[at].reducer->GetCounters().log_reads;
    };
    reader = reads(i) > reads(reader) ? i : reader;
  }
  cluster.Kill(reader);
  PublishMany(cluster, 1);
  CheckConverges(cluster, utils::Milliseconds(2'500));
}

// Guards against a log that is flooded with reads while it is down.
TEST(Exchange, ReadsBackOffWhileTheLogIsDown) {
  Cluster cluster(23, 1, 1, 1);
  CheckConverges(cluster, utils::Seconds(9));
  cluster.fault.log_down = true;
  const std::uint64_t before = Sum(cluster).log_reads;
  cluster.Run(utils::Seconds(60));
  const std::uint64_t reads = Sum(cluster).log_reads - before;
  // About 40 of each stream at the longest delay of 2 s with jitter.
  CHECK_TRUE(reads >= 20 && reads <= 120);
}

// Guards against control traffic of the baseline setting, and against costly idle digests.
TEST(Exchange, IdleNodesSendOnlyDigestsAndPollersNothing) {
  for (const SpreadKind spread : {SpreadKind::kPoll, SpreadKind::kTree}) {
    Options options;
    options.spread = spread;
    Cluster cluster(24, 1, 1, 6, options);
    PublishMany(cluster, 1);
    CheckConverges(cluster, utils::Seconds(9));
    const std::uint64_t messages = cluster.message_count;
    const std::uint64_t digests = Sum(cluster).digests_sent;
    cluster.Run(utils::Seconds(20));
    const std::uint64_t sent = cluster.message_count - messages;
    if (spread == SpreadKind::kPoll) {
      LONGS_EQUAL(0, sent);
    } else {
      // Six nodes once a second, and the heartbeats of the reader to the other candidates.
      CHECK_TRUE(Sum(cluster).digests_sent - digests >= 100);
      CHECK_TRUE(sent <= 20 * (6 + 2 * 4) * 5 / 4);
    }
  }
  CHECK_TRUE(nlohmann::json::to_cbor(ToJson(Digest{123'456, ~std::uint64_t{0}})).size() <= 16);
}

// Guards against a mesh that cannot start again from a truncated log, and against writers whose
// snapshots of one offset differ.
TEST(Exchange, StreamOfSnapshotsBringsALostMeshBack) {
  Options options;
  options.snapshot_max_lag = 20;
  Cluster cluster(25, 2, 1, 4, options);
  PublishMany(cluster, 40);
  CheckConverges(cluster, utils::Seconds(9));
  cluster.Run(utils::Seconds(8));
  CHECK_TRUE(Sum(cluster).snapshots_written > 0);
  // The writer restarts, and the next one writes the same offset again.
  cluster.snapshots.records.push_back({{"format", 1}, {"offset", 900}});
  const std::vector<nlohmann::json> first = cluster.snapshots.records;
  cluster.snapshots.records.clear();
  for (std::size_t i = 0; i < cluster.Nodes().size(); ++i) {
    cluster.Kill(i);
    cluster.Start(i);
  }
  CheckConverges(cluster, utils::Seconds(9));
  cluster.Run(utils::Seconds(10));
  CHECK_TRUE(cluster.snapshots.records[0] == first[0]);
  cluster.snapshots.records.insert(cluster.snapshots.records.end(), first.begin(), first.end());
  cluster.config.first_kept = 38;
  PublishMany(cluster, 3);
  for (std::size_t i = 0; i < cluster.Nodes().size(); ++i) {
    cluster.Kill(i);
    cluster.Start(i);
  }
  CheckConverges(cluster, utils::Seconds(9));
  CHECK_TRUE(Sum(cluster).snapshots_read > 0);
}

// Guards against snapshots that are incomplete, foreign or damaged.
TEST(Exchange, OnlyCompleteIntactSnapshotsAreUsed) {
  acceptance::State state;
  for (Offset offset = 1; offset <= 3; ++offset) {
    state.Apply(offset, MakeRecord("s" + std::to_string(offset), offset, 0, 1'000)).value();
  }
  details::Snapshot snapshot = details::EncodeSnapshot(state);
  // Two chunks from one, to have something to leave out.
  const std::string whole = snapshot.chunks[0];
  snapshot.chunks = {whole.substr(0, 100), whole.substr(100)};
  details::SnapshotCollector collector;
  CHECK_TRUE(collector.Add(details::MakeSnapshotRecord(snapshot, 1)));
  CHECK_FALSE(collector.TakeNewest().has_value());
  nlohmann::json foreign = details::MakeSnapshotRecord(snapshot, 0);
  foreign["count"] = 3;
  CHECK_FALSE(collector.Add(foreign));
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

// Guards against a node whose memory and links are taken by more transfers than it can bear.
TEST(Exchange, FourSnapshotTransfersAtOnce) {
  Single busy(8);
  // Random texts make the snapshot larger than one chunk.
  EntriesPush push;
  utils::Random random(5);
  for (Offset offset = 1; offset <= 120; ++offset) {
    nlohmann::json record = MakeRecord("s" + std::to_string(offset), offset, 0, 1'000);
    std::string noise;
    for (int i = 0; i < 60; ++i) {
      noise += std::to_string(random.Next()) + "x";
    }
    record["document"]["owner"] = noise.substr(0, 60);
    for (std::size_t i = 0; i < 25; ++i) {
      const std::string version = "v" + std::to_string(random.Next());
      record["document"]["versions"][version]["labels"]["release"] = noise.substr(i * 20U, 120);
    }
    push.entries.push_back(Single::MakeEntry(offset, record));
  }
  busy.Receive(busy.members[1].id, push);
  LONGS_EQUAL(120, busy.reducer->HeldOffset());
  std::size_t deferred = 0;
  for (std::size_t i = 1; i <= 6; ++i) {
    const auto effects = busy.Receive(busy.members[i].id, SnapshotRequest{});
    deferred += CountSent<SnapshotRetryLater>(effects, busy.members[i].id);
  }
  LONGS_EQUAL(2, deferred);
}

// Guards against state taken from a node whose state is another one.
TEST(Exchange, NothingIsTakenFromANodeWithAnotherState) {
  Single node(4);
  node.Fill(2);
  const membership::NodeId& other = node.members[2].id;
  const auto effects = node.Receive(other, Digest{2, node.state.Hash() + 1});
  LONGS_EQUAL(1, node.reducer->GetCounters().state_hash_mismatches);
  EntriesPush push;
  push.previous = 2;
  push.entries = {Single::MakeEntry(3, MakeRecord("service-3", 3, 0, 1'000))};
  node.Receive(other, push);
  LONGS_EQUAL(2, node.reducer->HeldOffset());
  node.Receive(node.members[1].id, push);
  LONGS_EQUAL(3, node.reducer->HeldOffset());
}

// Guards against entries applied over a gap, and against a damaged difference that is applied.
TEST(Exchange, GapsAndDamagedDifferencesAreAskedForAgain) {
  Single node(4);
  node.Fill(1);
  const membership::NodeId& peer = node.members[1].id;
  EntriesPush push;
  push.previous = 2;
  push.entries = {Single::MakeEntry(3, MakeRecord("service-3", 3, 0, 1'000))};
  LONGS_EQUAL(1, CountSent<EntriesAck>(node.Receive(peer, push), peer));
  LONGS_EQUAL(1, node.reducer->HeldOffset());
  LONGS_EQUAL(1, node.reducer->GetCounters().entry_gaps);
  push.previous = 1;
  push.entries = {Single::MakeEntry(2, MakeRecord("service-1", 2, 1, 1'500))};
  push.entries[0].patch_base = 1;
  push.entries[0].record["document"] = {
      {{"op", "copy"}, {"from", "/routes"}, {"path", "/routes/0"}}};
  LONGS_EQUAL(1, CountSent<EntriesRequest>(node.Receive(peer, push), peer));
  LONGS_EQUAL(1, node.reducer->HeldOffset());
  LONGS_EQUAL(1, node.reducer->GetCounters().patch_mismatches);
}

// Guards against answers to nodes that are no members, other than those that joining needs.
TEST(Exchange, StrangersMayOnlyJoin) {
  Single node(3);
  node.Fill(2);
  const membership::NodeId stranger = "10.9.9.9:7000";
  LONGS_EQUAL(1, CountSent<HeldReply>(node.Receive(stranger, HeldQuery{}), stranger));
  LONGS_EQUAL(1, CountSent<SnapshotChunk>(node.Receive(stranger, SnapshotRequest{}), stranger));
  LONGS_EQUAL(0, CountSent<EntriesPush>(node.Receive(stranger, EntriesRequest{}), stranger));
  EntriesPush push;
  push.previous = 2;
  push.entries = {Single::MakeEntry(3, MakeRecord("service-3", 3, 0, 1'000))};
  node.Receive(stranger, push);
  LONGS_EQUAL(2, node.reducer->HeldOffset());
  LONGS_EQUAL(2, node.reducer->GetCounters().non_member_messages);
}

// Guards against a slow peer that piles up messages, or holds up the others.
TEST(Exchange, OnePushInFlightForEachPeer) {
  Options options;
  options.fanout = 8;
  Single node(4, options);
  std::map<membership::NodeId, std::size_t> pushes;
  for (Offset offset = 1; offset <= 5; ++offset) {
    EntriesPush push;
    push.previous = offset - 1;
    push.entries = {Single::MakeEntry(
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

// Guards against pushes without end to a peer that cannot use them, as one that has stopped at an
// unknown format.
TEST(Exchange, PeerWithoutProgressIsLeftAlone) {
  Single node(4);
  node.Fill(2);
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
