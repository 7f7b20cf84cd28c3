// Randomized fault injection. A failing run reports its seed.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>

#include "cluster.h"

namespace amaranthlatch::distribution::testing {

namespace {

constexpr std::uint64_t kDefaultRunCount = 150;
constexpr utils::Duration kConvergenceLimit = utils::Seconds(9);
// Maximum number of nodes of a zone without a proven state at one time (docs/design.md section
// 5.1).
constexpr std::size_t kMaxUnprovenNodes = 2;

// FAULT_RUNS sets the number of runs; FAULT_SEED selects a single run.
std::uint64_t ReadNumber(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

Options RandomOptions(utils::Random& random) {
  Options options;
  options = ApplyProfile(options, static_cast<Profile>(random.Uniform(3)));
  options.spread = static_cast<SpreadKind>(random.Uniform(3));
  options.fanout = 2;
  // A short tail forces nodes to exchange snapshots.
  options.tail_entries = random.Bernoulli(0.5) ? 6 : 4'096;
  options.push_bytes = random.Bernoulli(0.5) ? 4'096 : options.push_bytes;
  options.snapshot_max_lag = 40;
  return options;
}

// Injects random faults into a cluster and clears them.
class FaultSchedule {
 public:
  FaultSchedule(Cluster& cluster, std::uint64_t seed) : cluster(cluster), random(seed) {}

  void RunEpisode() {
    const std::uint64_t kinds = 1 + this->random.Uniform(3);
    for (std::uint64_t i = 0; i < kinds; ++i) {
      this->InjectFault(this->random.Uniform(12));
    }
    const std::uint64_t steps = 3 + this->random.Uniform(8);
    for (std::uint64_t i = 0; i < steps; ++i) {
      this->PublishRandom();
      this->RestartRandom();
      this->cluster.Run(utils::Milliseconds(300) + this->random.Jitter(utils::Seconds(1)));
    }
    this->ClearFaults();
  }

  void PublishRandom() {
    const std::uint64_t count = this->random.Uniform(4);
    for (std::uint64_t i = 0; i < count; ++i) {
      const std::string service = "service-" + std::to_string(this->random.Uniform(5));
      // Simulates concurrent publishers: some use a base version that is no longer in force, and
      // some publish the same change twice.
      const Offset head = this->cluster.config.Head();
      const Offset base = this->random.Bernoulli(0.7) ? this->versions[service] : 0;
      this->cluster.Publish(service, base);
      if (this->random.Bernoulli(0.2)) {
        this->cluster.Publish(service, base);
      }
      if (base == this->versions[service]) {
        this->versions[service] = head + 1;
      }
    }
  }

 private:
  std::size_t RandomNode() { return this->random.Uniform(this->cluster.Nodes().size()); }

  std::size_t CountUnprovenNodes(const std::string& zone) {
    std::size_t unproven = 0;
    for (std::size_t i = 0; i < this->cluster.Nodes().size(); ++i) {
      const auto& reducer = this->cluster.Nodes()[i].reducer;
      const bool is_unproven = !reducer || !reducer->Ready();
      unproven += is_unproven && this->cluster.MemberAt(i).zone == zone ? 1 : 0;
    }
    return unproven;
  }

  void KillRandomNode() {
    const std::size_t index = this->RandomNode();
    const bool within_bound =
        this->CountUnprovenNodes(this->cluster.MemberAt(index).zone) + 1 <= kMaxUnprovenNodes;
    const bool ready =
        this->cluster.Nodes()[index].reducer && this->cluster.Nodes()[index].reducer->Ready();
    if (within_bound && ready) {
      this->cluster.Kill(index);
      if (!this->mass_failure && this->random.Bernoulli(0.3)) {
        this->cluster.SetListed(index, false);
      }
    }
  }

  // During a mass failure the failure detector declares no member dead, so failed nodes stay
  // listed.
  void KillMostNodes() {
    this->mass_failure = true;
    for (std::size_t i = 0; i < this->cluster.Nodes().size(); ++i) {
      if (this->random.Bernoulli(0.9)) {
        this->cluster.Kill(i);
      }
    }
  }

  void RestartRandom() {
    for (std::size_t i = 0; i < this->cluster.Nodes().size(); ++i) {
      if (!this->cluster.Nodes()[i].reducer && this->random.Bernoulli(0.3)) {
        this->cluster.Start(i);
      }
    }
  }

  void PartitionNetwork() {
    const std::string zone = this->cluster.MemberAt(this->RandomNode()).zone;
    const std::string region = this->cluster.MemberAt(this->RandomNode()).region;
    const membership::NodeId node = this->cluster.MemberAt(this->RandomNode()).id;
    const std::uint64_t kind = this->random.Uniform(5);
    this->cluster.fault.is_partitioned = [=](const membership::Member& from,
                                             const membership::Member* to) {
      const bool leaves_zone = to == nullptr || (from.zone == zone) != (to->zone == zone);
      const bool leaves_region = to != nullptr && (from.region == region) != (to->region == region);
      switch (kind) {
        case 0:
          return to == nullptr && from.zone == zone;
        case 1:
          return to != nullptr && leaves_zone;
        case 2:
          return leaves_region || (to == nullptr && from.region == region);
        case 3:
          return to != nullptr && (from.id == node || to->id == node);
        default:
          return leaves_zone && (to != nullptr || from.zone == zone);
      }
    };
  }

  void InjectFault(std::uint64_t kind) {
    FaultConfig& fault = this->cluster.fault;
    switch (kind) {
      case 0:
        fault.loss_probability = this->random.UniformReal() / 2;
        break;
      case 1:
        fault.duplicate_probability = this->random.UniformReal() / 2;
        fault.max_extra_delay = utils::Milliseconds(300);
        break;
      case 2:
        fault.log_down = true;
        break;
      case 3:
        fault.log_slow = true;
        break;
      case 4:
        fault.log_append_replies_lost = true;
        break;
      case 5:
        this->PartitionNetwork();
        break;
      case 6:
        this->KillMostNodes();
        break;
      case 7:
        this->cluster.Pause(this->RandomNode(), this->random.Jitter(utils::Seconds(6)));
        this->cluster.Pause(this->RandomNode(), this->random.Jitter(utils::Seconds(6)));
        break;
      case 8:
        this->TruncateLog();
        break;
      default:
        this->KillRandomNode();
        this->KillRandomNode();
        break;
    }
  }

  // Publishes enough records for a snapshot, then drops log records that the newest complete one
  // covers.
  void TruncateLog() {
    for (int i = 0; i < 40; ++i) {
      this->PublishRandom();
    }
    this->cluster.Run(utils::Seconds(8));
    std::map<Offset, std::set<std::uint64_t>> chunks;
    Offset covered = 0;
    for (const nlohmann::json& record : this->cluster.snapshots.records) {
      const Offset offset = record["offset"];
      chunks[offset].insert(record["index"].get<std::uint64_t>());
      covered = chunks[offset].size() == record["count"] ? std::max(covered, offset) : covered;
    }
    Offset& first_kept = this->cluster.config.first_kept;
    first_kept = std::max(first_kept, covered + 1 - std::min(covered, this->random.Uniform(5)));
  }

  void ClearFaults() {
    this->cluster.fault = FaultConfig{};
    this->mass_failure = false;
    for (std::size_t i = 0; i < this->cluster.Nodes().size(); ++i) {
      this->cluster.Nodes()[i].paused_until = {};
      if (!this->cluster.Nodes()[i].reducer) {
        this->cluster.Start(i);
      }
    }
  }

  Cluster& cluster;
  utils::Random random;
  std::map<std::string, Offset> versions;
  bool mass_failure = false;
};

std::string RunSeed(std::uint64_t seed) {
  utils::Random random(seed);
  const int regions = 1 + static_cast<int>(random.Uniform(3));
  const int zones = 1 + static_cast<int>(random.Uniform(2));
  const int nodes = 1 + static_cast<int>(random.Uniform(6));
  Cluster cluster(random.Next(), regions, zones, nodes, RandomOptions(random));
  FaultSchedule schedule(cluster, random.Next());
  schedule.PublishRandom();
  const std::uint64_t episodes = 1 + random.Uniform(3);
  for (std::uint64_t i = 0; i <= episodes; ++i) {
    if (!cluster.Converge(kConvergenceLimit) || !cluster.Violation().empty()) {
      return "episode " + std::to_string(i) + ": " + cluster.Describe();
    }
    if (i < episodes) {
      schedule.RunEpisode();
    }
  }
  return "";
}

}  // namespace

TEST_GROUP(Faults){};

// Guards against states that move backwards, differ between nodes or fail to converge after any mix
// of lost, duplicated and delayed messages, partitions, log outages, mass failures, restarts and
// pauses.
TEST(Faults, InvariantsHoldInRandomRuns) {
  const std::uint64_t first = ReadNumber("FAULT_SEED", 1);
  const std::uint64_t last =
      std::getenv("FAULT_SEED") != nullptr ? first : ReadNumber("FAULT_RUNS", kDefaultRunCount);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string failure = RunSeed(seed);
    CHECK_TEXT(failure.empty(), ("run " + std::to_string(seed) + ", " + failure).c_str());
  }
}

}  // namespace amaranthlatch::distribution::testing
