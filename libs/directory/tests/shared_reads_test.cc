// Tests of the reads that the nodes of a zone share, in a simulated mesh under faults.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <variant>

#include "configuration_change.h"
#include "configuration_fixture.h"
#include "shared_reads_mesh.h"

namespace amaranthlatch::directory::testing {

using utils::Milliseconds;
using utils::Seconds;

namespace {

constexpr std::size_t kZones = 3;
constexpr std::size_t kNodesPerZone = 8;

// Reads of both streams by one reader while nothing changes, with one more of each at the ends.
std::uint64_t ReadsOfReader(utils::Duration time, std::size_t zones) {
  const Options options;
  const utils::Duration wait = std::clamp(
      options.configuration_read_wait_per_zone * static_cast<utils::Duration::rep>(zones),
      options.min_configuration_read_wait, options.max_configuration_read_wait);
  return static_cast<std::uint64_t>(time / wait + time / options.members_read_wait) + 2;
}

}  // namespace

TEST_GROUP(SharedReads) {
  SharedReadsMesh mesh{1, kZones, kNodesPerZone, true};

  void teardown() override { STRCMP_EQUAL("", this->mesh.FirstError().c_str()); }

  // Publishes a version and returns the time until all nodes have it, at most `limit`.
  utils::Duration TimeToApply(document::Version version, utils::Duration limit) {
    this->mesh.Publish(version);
    utils::Duration time{};
    while (time < limit && !this->AllHave(version)) {
      this->mesh.Run(Milliseconds(50));
      this->mesh.ShareVersions();
      time += Milliseconds(50);
    }
    return time;
  }
  bool AllHave(document::Version version) const {
    for (std::size_t i = 0; i < this->mesh.Size(); ++i) {
      const SharedReadsMesh::Node& node = this->mesh.At(i);
      if (node.directory && !node.frozen && !node.cut_from_peers && !node.cut_from_register &&
          node.version < version) {
        return false;
      }
    }
    return true;
  }
  std::size_t ReaderOfFirstZone() const { return this->mesh.Readers(0).front(); }
};

// Guards against reads whose number grows with the nodes of a zone.
TEST(SharedReads, NewMeshHasOneReaderPerZoneAndFewCalls) {
  this->mesh.Run(Seconds(8));
  CHECK_TRUE(this->mesh.AllUpToDate());
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    LONGS_EQUAL(1, this->mesh.Readers(zone).size());
  }
  // One or two writes of each node; the rest is read by the readers and those who became one early.
  const std::uint64_t at_start = this->mesh.RegisterCalls();
  CHECK_TRUE(at_start <= this->mesh.Size() * 3 + kZones * ReadsOfReader(Seconds(8), kZones));
  this->mesh.Run(Seconds(60));
  CHECK_TRUE(this->mesh.RegisterCalls() - at_start <= kZones * ReadsOfReader(Seconds(60), kZones));
}

// Guards against changes that take longer than the bound of the smallest deployments, 2.5 s.
TEST(SharedReads, ChangesReachAllNodesInTime) {
  this->mesh.Run(Seconds(10));
  for (document::Version version = 2; version < 12; ++version) {
    CHECK_TRUE(this->TimeToApply(version, Seconds(5)) <= Milliseconds(1000));
  }
}

// Guards against a zone that stays behind because its reader ended, was suspended, or was cut off
// from the register or from its peers without a sign.
TEST(SharedReads, FailureOfReaderDelaysChangesWithinBounds) {
  this->mesh.Run(Seconds(10));
  const std::size_t first = this->ReaderOfFirstZone();
  this->mesh.Kill(first);
  CHECK_TRUE(this->TimeToApply(2, Seconds(9)) <= Milliseconds(2500));
  const std::size_t second = this->ReaderOfFirstZone();
  this->mesh.Freeze(second);
  CHECK_TRUE(this->TimeToApply(3, Seconds(9)) <= Milliseconds(2500));
  this->mesh.Run(Seconds(5));
  this->mesh.Thaw(second);
  this->mesh.Run(Seconds(30));
  LONGS_EQUAL(1, this->mesh.Readers(0).size());
  const std::size_t third = this->ReaderOfFirstZone();
  this->mesh.At(third).cut_from_register = true;
  CHECK_TRUE(this->TimeToApply(4, Seconds(9)) <= Milliseconds(2500));
  this->mesh.At(third).cut_from_register = false;
  this->mesh.Run(Seconds(40));
  const std::size_t fourth = this->ReaderOfFirstZone();
  this->mesh.At(fourth).cut_from_peers = true;
  CHECK_TRUE(this->TimeToApply(5, Seconds(9)) <= Milliseconds(2500));
  this->mesh.At(fourth).cut_from_peers = false;
  this->mesh.Run(Seconds(40));
  CHECK_TRUE(this->mesh.AllUpToDate());
  LONGS_EQUAL(1, this->mesh.Readers(0).size());
}

// Guards against a planned stop of a reader that delays changes.
TEST(SharedReads, DrainingReaderHandsSubscribersOver) {
  this->mesh.Run(Seconds(10));
  const std::size_t reader = this->ReaderOfFirstZone();
  this->mesh.Drain(reader);
  this->mesh.Run(Milliseconds(200));
  this->mesh.Kill(reader);
  CHECK_TRUE(this->TimeToApply(2, Seconds(5)) <= Milliseconds(1000));
  LONGS_EQUAL(1, this->mesh.Readers(0).size());
}

// Guards against nodes that wait for each other after all of them were ended at once.
TEST(SharedReads, AllNodesRestartAtOnce) {
  this->mesh.Run(Seconds(10));
  for (std::size_t i = 0; i < this->mesh.Size(); ++i) {
    this->mesh.Kill(i);
  }
  const std::uint64_t calls = this->mesh.RegisterCalls();
  for (std::size_t i = 0; i < this->mesh.Size(); ++i) {
    this->mesh.Start(i, false);
  }
  this->mesh.Run(Seconds(2));
  CHECK_TRUE(this->AllHave(1));
  this->mesh.Run(Seconds(4));
  CHECK_TRUE(this->mesh.AllUpToDate());
  LONGS_EQUAL(1, this->mesh.Readers(0).size());
  // A listing and one or two writes of each node, and the reads of the readers.
  CHECK_TRUE(this->mesh.RegisterCalls() - calls <= this->mesh.Size() * 4);
}

// Guards against nodes that stay behind, or that all read, after an outage of the register.
TEST(SharedReads, OutageOfRegisterEndsWithOneReader) {
  this->mesh.Run(Seconds(10));
  this->mesh.SetRegisterDown(true);
  this->mesh.Run(Seconds(8));
  this->mesh.Compact();
  this->mesh.SetRegisterDown(false);
  this->mesh.Run(Seconds(2));
  CHECK_TRUE(this->TimeToApply(7, Seconds(5)) <= Milliseconds(1500));
  this->mesh.Run(Seconds(15));
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    LONGS_EQUAL(1, this->mesh.Readers(zone).size());
  }
}

// Guards against a zone that stays behind because the register turns its reader and the next
// candidates away, and serves the other nodes.
TEST(SharedReads, RegisterThatRefusesSomeNodesDelaysChangesWithinBounds) {
  for (const std::size_t zone_size : {8U, 30U}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      SharedReadsMesh refusing(seed, 1, zone_size, true);
      refusing.Run(Seconds(10));
      utils::Random random(seed);
      const std::size_t reader = refusing.Readers(0).front();
      for (std::size_t i = 0; i < zone_size; ++i) {
        refusing.At(i).refused_by_register = i == reader || random.Bernoulli(0.4);
      }
      refusing.Compact();
      refusing.Publish(2);
      refusing.Run(Milliseconds(2500));
      for (std::size_t i = 0; i < zone_size; ++i) {
        CHECK_TRUE_TEXT(refusing.At(i).version == 2, std::to_string(seed).c_str());
      }
    }
  }
}

// Guards against a zone that stays behind because its reader waits for a response that the register
// does not give, while the register serves the other nodes and no call shows the newer version.
TEST(SharedReads, SilenceForTheReaderDelaysChangesWithinBounds) {
  for (const std::size_t zones : {1U, 2U, 3U, 6U, 12U}) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      SharedReadsMesh silent(seed, zones, 2 + seed % 4, true);
      utils::Random random(seed);
      silent.Run(Seconds(10) + random.Jitter(Seconds(5)));
      const std::size_t reader = silent.Readers(0).front();
      silent.At(reader).cut_from_register = true;
      silent.Run(random.Jitter(Seconds(3)));
      silent.Publish(2);
      silent.Run(Milliseconds(2500));
      for (std::size_t i = 0; i < silent.Size(); ++i) {
        const std::string text = std::to_string(zones) + " zones, seed " + std::to_string(seed);
        CHECK_TRUE_TEXT(i == reader || silent.At(i).version == 2, text.c_str());
      }
    }
  }
}

// Guards against the worst moment of the same: the answer is lost that a read which has just begun
// should get, so that it is overdue only after the bound. Other zones know of the version
// meanwhile.
TEST(SharedReads, NoticesOfOtherZonesReplaceALostAnswer) {
  constexpr auto kConfiguration = static_cast<std::size_t>(Stream::kConfiguration);
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SharedReadsMesh silent(seed, 6, 2 + seed % 4, true);
    silent.Run(Seconds(12));
    const std::size_t reader = silent.Readers(0).front();
    const std::uint64_t read = silent.At(reader).reads[kConfiguration];
    while (silent.At(reader).reads[kConfiguration] == read) {
      silent.Run(Milliseconds(5));
    }
    silent.At(reader).cut_from_register = true;
    silent.Publish(2);
    silent.Run(Milliseconds(1500));
    for (std::size_t i = 0; i < silent.Size(); ++i) {
      CHECK_TRUE_TEXT(silent.At(i).version == 2, std::to_string(seed).c_str());
    }
  }
}

// Guards against readers that all wait on connections which the register has gone silent on, for
// long after it serves again.
TEST(SharedReads, ChangesDuringSilenceAreInForceSoonAfterIt) {
  for (const std::size_t zones : {1U, 3U, 6U}) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      SharedReadsMesh silent(seed, zones, 2 + seed % 4, true);
      utils::Random random(seed);
      silent.Run(Seconds(10) + random.Jitter(Seconds(5)));
      const auto cut = [&silent](bool is_cut) {
        for (std::size_t i = 0; i < silent.Size(); ++i) {
          silent.At(i).cut_from_register = is_cut;
        }
      };
      cut(true);
      silent.Run(random.Jitter(Milliseconds(500)));
      silent.Publish(2);
      silent.Run(random.Jitter(Seconds(9)));
      cut(false);
      silent.Run(Seconds(3));
      for (std::size_t i = 0; i < silent.Size(); ++i) {
        CHECK_TRUE_TEXT(silent.At(i).version == 2, std::to_string(seed).c_str());
      }
    }
  }
}

// Guards against a late write of an earlier process that remains the newest record because only the
// reader sees it.
TEST(SharedReads, OwnerReplacesOutdatedRecordSeenByItsReader) {
  this->mesh.Run(Seconds(10));
  const std::size_t reader = this->ReaderOfFirstZone();
  const std::size_t node = reader == 0 ? 1 : 0;
  membership::Member late = this->mesh.At(node).directory->Members().Self();
  late.incarnation = 0;
  late.boot_id = 1;
  late.state = membership::MemberState::kLeft;
  this->mesh.StoreRecord(late);
  this->mesh.Run(Seconds(2));
  CHECK_TRUE(this->mesh.AllUpToDate());
}

// Guards against a reader that passes on its own record before the register holds it: the next
// process of that node does not know of it, so that its own record may never replace it.
TEST(SharedReads, UnwrittenRecordOfReaderIsNotPassedOn) {
  this->mesh.Run(Seconds(10));
  const std::size_t reader = this->ReaderOfFirstZone();
  const std::size_t node = reader == 0 ? 1 : 0;
  const membership::Member before = this->mesh.At(reader).directory->Members().Self();
  this->mesh.SetRegisterDown(true);
  this->mesh.Drain(reader);
  this->mesh.Run(Seconds(1));
  CHECK_TRUE(*this->mesh.At(node).directory->Members().Find(before.id) == before);
  this->mesh.SetRegisterDown(false);
  this->mesh.Run(Seconds(3));
  CHECK_TRUE(this->mesh.AllUpToDate());
}

// Guards against a subscriber that takes changes for an earlier process of its node for all
// members.
TEST(SharedReads, ChangesForEarlierProcessAreNotTakenForAllMembers) {
  this->mesh.Run(Seconds(10));
  const std::size_t reader_index = this->ReaderOfFirstZone();
  const std::string reader = this->mesh.At(reader_index).options.id;
  const membership::Member peer = this->mesh.At(reader_index).directory->Members().Self();
  Options options = this->mesh.At(reader_index == 0 ? 1 : 0).options;
  options.mesh_is_new = false;
  Directory directory = *Directory::Create(options);
  directory.Reduce(WakeUp{}, utils::Timestamp{});
  directory.Reduce(StreamReadSucceeded{Stream::kMembers, 1, nullptr, {peer}, {}},
                   utils::Timestamp{});
  const auto subscribed = [&directory, &reader](std::uint64_t since) {
    const Update update{true, 0, {}, since, {5, 9}, {}, {}};
    for (const Effect& effect :
         directory.Reduce(PeerMessageReceived{reader, update}, utils::Timestamp{})) {
      const auto* const source = std::get_if<ReadSourceChanged>(&effect);
      if (source != nullptr && source->reader == reader) {
        return true;
      }
    }
    return false;
  };
  CHECK_FALSE(subscribed(8));
  CHECK_TRUE(subscribed(0));
}

// Guards against a subscriber that waits for further updates after one that it cannot apply: the
// sender takes each of them for delivered.
TEST(SharedReads, UpdateWithoutItsBaseIsAskedForAgain) {
  this->mesh.Run(Seconds(10));
  const std::size_t reader_index = this->ReaderOfFirstZone();
  const std::string reader = this->mesh.At(reader_index).options.id;
  Directory& subscriber = *this->mesh.At(reader_index == 0 ? 1 : 0).directory;
  const auto change =
      details::EncodeChange(details::Difference(MakeConfiguration(8), *MakeConfiguration(9)));
  const Update update{true, 9, change, 0, {5, 9}, {}, {}};
  const auto effects = subscriber.Reduce(PeerMessageReceived{reader, update}, this->mesh.Now());
  const Effect request = SendToPeer{reader, ConfigurationRequest{1}};
  CHECK_TRUE(std::find(effects.begin(), effects.end(), request) != effects.end());
}

// Guards against versions that decrease, nodes that stay behind, and unbounded reads, under random
// kills, suspensions, cuts and outages. SHARED_READS_SEED and SHARED_READS_RUNS choose others.
TEST(SharedReads, RandomFaultsEndInAgreement) {
  const char* const seed_text = std::getenv("SHARED_READS_SEED");
  const char* const runs_text = std::getenv("SHARED_READS_RUNS");
  const std::uint64_t first_seed = seed_text == nullptr ? 1 : std::strtoull(seed_text, nullptr, 10);
  const std::uint64_t runs = runs_text == nullptr ? 150 : std::strtoull(runs_text, nullptr, 10);
  for (std::uint64_t seed = first_seed; seed < first_seed + runs; ++seed) {
    utils::Random random(seed);
    SharedReadsMesh faulty(seed, 2, 2 + random.Uniform(5), random.Bernoulli(0.5));
    faulty.Run(Seconds(6));
    document::Version version = 1;
    for (int step = 0; step < 25; ++step) {
      const std::size_t node = random.Uniform(faulty.Size());
      switch (random.Uniform(9)) {
        case 0:
          faulty.Kill(node);
          break;
        case 1:
          faulty.Kill(node);
          faulty.Start(node, false);
          break;
        case 2:
          faulty.Freeze(node);
          break;
        case 3:
          faulty.Thaw(node);
          break;
        case 4:
          faulty.At(node).cut_from_register = random.Bernoulli(0.5);
          break;
        case 5:
          faulty.At(node).cut_from_peers = random.Bernoulli(0.5);
          break;
        case 6:
          faulty.SetRegisterDown(random.Bernoulli(0.5));
          break;
        case 7:
          faulty.Compact();
          break;
        default:
          break;
      }
      faulty.Publish(version += 1 + random.Uniform(3));
      faulty.Run(random.Jitter(Seconds(3)));
      faulty.ShareVersions();
    }
    faulty.SetRegisterDown(false);
    for (std::size_t i = 0; i < faulty.Size(); ++i) {
      faulty.At(i).cut_from_register = false;
      faulty.At(i).cut_from_peers = false;
      faulty.Thaw(i);
      if (!faulty.At(i).directory) {
        faulty.Start(i, false);
      }
    }
    // A read that was cut off ends after 21.5 s.
    faulty.Run(Seconds(24));
    const std::string text = "seed " + std::to_string(seed);
    CHECK_TRUE_TEXT(faulty.AllUpToDate(), text.c_str());
    // A reader in each of the two zones.
    const std::uint64_t max_calls = 2 * ReadsOfReader(Seconds(40), 2);
    const std::uint64_t calls = faulty.RegisterCalls();
    faulty.Run(Seconds(40));
    CHECK_TRUE_TEXT(faulty.Readers(0).size() == 1 && faulty.Readers(1).size() == 1, text.c_str());
    CHECK_TRUE_TEXT(faulty.RegisterCalls() - calls <= max_calls, text.c_str());
    STRCMP_EQUAL_TEXT("", faulty.FirstError().c_str(), text.c_str());
  }
}

// Guards against a difference that, applied to its base, gives another configuration.
TEST(SharedReads, ChangeLeadsFromBaseToNext) {
  utils::Random random(3);
  const auto make = [&random](document::Version version) {
    std::vector<HostRoute> routes;
    for (int i = 0; i < 12; ++i) {
      if (random.Bernoulli(0.7)) {
        routes.push_back(MakeRoute(random.Bernoulli(0.2) ? "FLEET.example" : "fleet.example",
                                   "/" + std::to_string(i) + "/"));
        routes.back().route.max_attempts = 1 + static_cast<std::uint32_t>(random.Uniform(2));
      }
    }
    return *MeshConfiguration::Create(version, ShareRoutes(std::move(routes)),
                                      {{"fleet", "/health", 10}}, {});
  };
  for (int run = 0; run < 200; ++run) {
    const auto base = make(4);
    const auto next = make(5);
    for (const auto& from : {base, MeshConfiguration::Pointer()}) {
      const std::string bytes = details::EncodeChange(details::Difference(from, *next));
      const auto applied = details::Apply(from, *details::DecodeChange(bytes), {});
      CHECK_TRUE(applied.has_value());
      LONGS_EQUAL(next->RouteCount(), (*applied)->RouteCount());
      for (const HostRoutePointer& route : next->Routes()) {
        CHECK_TRUE(*(*applied)->FindRoute(route->host, route->route.path_prefix) == *route);
      }
      CHECK_FALSE(details::DecodeChange(bytes.substr(0, bytes.size() - 1)).has_value());
    }
    CHECK_FALSE(details::Apply(nullptr, details::Difference(base, *next), {}).has_value());
  }
  CHECK_FALSE(details::DecodeChange("no change").has_value());
}

}  // namespace amaranthlatch::directory::testing
