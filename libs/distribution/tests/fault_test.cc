// Randomised runs under faults. A run that fails names its seed.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>

#include "cluster.h"

namespace amaranthlatch::distribution::testing {

namespace {

constexpr std::uint64_t kDefaultRuns = 150;
constexpr utils::Duration kConvergenceLimit = utils::Seconds(9);
// The bound of docs/design.md section 5.1: nodes of a zone without a proven state at one time.
constexpr std::size_t kMaxLosses = 2;

// FAULT_RUNS asks for more runs than the usual ones, FAULT_SEED for one run only.
std::uint64_t ReadNumber(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

Options DrawOptions(utils::Random& random) {
  Options options;
  options = WithProfile(options, static_cast<Profile>(random.Uniform(3)));
  options.spread = static_cast<SpreadKind>(random.Uniform(3));
  options.fanout = 2;
  // A short tail makes nodes exchange snapshots.
  options.tail_entries = random.Bernoulli(0.5) ? 6 : 4'096;
  options.push_bytes = random.Bernoulli(0.5) ? 4'096 : options.push_bytes;
  options.snapshot_max_behind = 40;
  return options;
}

// Draws faults, applies them to a cluster and ends them.
class FaultSchedule {
 public:
  FaultSchedule(Cluster& cluster, std::uint64_t seed) : cluster(cluster), random(seed) {}

  void Episode() {
    const std::uint64_t kinds = 1 + this->random.Uniform(3);
    for (std::uint64_t i = 0; i < kinds; ++i) {
      this->Begin(this->random.Uniform(12));
    }
    const std::uint64_t steps = 3 + this->random.Uniform(8);
    for (std::uint64_t i = 0; i < steps; ++i) {
      this->PublishSome();
      this->RestartSome();
      this->cluster.Run(utils::Milliseconds(300) + this->random.Jitter(utils::Seconds(1)));
    }
    this->End();
  }

  void PublishSome() {
    const std::uint64_t count = this->random.Uniform(4);
    for (std::uint64_t i = 0; i < count; ++i) {
      const std::string service = "service-" + std::to_string(this->random.Uniform(5));
      // Publishers race: some write on a version that is no longer in force, or twice the same.
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
  std::size_t DrawNode() { return this->random.Uniform(this->cluster.Nodes().size()); }

  std::size_t LossesInZone(const std::string& zone) {
    std::size_t losses = 0;
    for (std::size_t i = 0; i < this->cluster.Nodes().size(); ++i) {
      const auto& reducer = this->cluster.Nodes()[i].reducer;
      const bool lost = !reducer || !reducer->Ready();
      losses += lost && this->cluster.MemberAt(i).zone == zone ? 1 : 0;
    }
    return losses;
  }

  void KillOne() {
    const std::size_t index = this->DrawNode();
    const bool within_bound =
        this->LossesInZone(this->cluster.MemberAt(index).zone) + 1 <= kMaxLosses;
    const bool ready =
        this->cluster.Nodes()[index].reducer && this->cluster.Nodes()[index].reducer->Ready();
    if (within_bound && ready) {
      this->cluster.Kill(index);
      if (!this->mass_death && this->random.Bernoulli(0.3)) {
        this->cluster.SetListed(index, false);
      }
    }
  }

  // The failure detector holds on a mass failure: the dead stay listed.
  void KillMany() {
    this->mass_death = true;
    for (std::size_t i = 0; i < this->cluster.Nodes().size(); ++i) {
      if (this->random.Bernoulli(0.9)) {
        this->cluster.Kill(i);
      }
    }
  }

  void RestartSome() {
    for (std::size_t i = 0; i < this->cluster.Nodes().size(); ++i) {
      if (!this->cluster.Nodes()[i].reducer && this->random.Bernoulli(0.3)) {
        this->cluster.Start(i);
      }
    }
  }

  void Cut() {
    const std::string zone = this->cluster.MemberAt(this->DrawNode()).zone;
    const std::string region = this->cluster.MemberAt(this->DrawNode()).region;
    const membership::NodeId node = this->cluster.MemberAt(this->DrawNode()).id;
    const std::uint64_t kind = this->random.Uniform(5);
    this->cluster.fault.cut = [=](const membership::Member& from, const membership::Member* to) {
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

  void Begin(std::uint64_t kind) {
    Fault& fault = this->cluster.fault;
    switch (kind) {
      case 0:
        fault.lose = this->random.UniformReal() / 2;
        break;
      case 1:
        fault.repeat = this->random.UniformReal() / 2;
        fault.late = utils::Milliseconds(300);
        break;
      case 2:
        fault.log_down = true;
        break;
      case 3:
        fault.log_slow = true;
        break;
      case 4:
        fault.log_loses_answers = true;
        break;
      case 5:
        this->Cut();
        break;
      case 6:
        this->KillMany();
        break;
      case 7:
        this->cluster.Pause(this->DrawNode(), this->random.Jitter(utils::Seconds(6)));
        this->cluster.Pause(this->DrawNode(), this->random.Jitter(utils::Seconds(6)));
        break;
      case 8:
        this->Truncate();
        break;
      default:
        this->KillOne();
        this->KillOne();
        break;
    }
  }

  // Drops what a complete snapshot in the log covers, after enough records for one.
  void Truncate() {
    for (int i = 0; i < 40; ++i) {
      this->PublishSome();
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

  void End() {
    this->cluster.fault = Fault{};
    this->mass_death = false;
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
  bool mass_death = false;
};

std::string RunOne(std::uint64_t seed) {
  utils::Random random(seed);
  const int regions = 1 + static_cast<int>(random.Uniform(3));
  const int zones = 1 + static_cast<int>(random.Uniform(2));
  const int nodes = 1 + static_cast<int>(random.Uniform(6));
  Cluster cluster(random.Next(), regions, zones, nodes, DrawOptions(random));
  FaultSchedule schedule(cluster, random.Next());
  schedule.PublishSome();
  const std::uint64_t episodes = 1 + random.Uniform(3);
  for (std::uint64_t i = 0; i <= episodes; ++i) {
    if (!cluster.Converge(kConvergenceLimit) || !cluster.Violation().empty()) {
      return "episode " + std::to_string(i) + ": " + cluster.Describe();
    }
    if (i < episodes) {
      schedule.Episode();
    }
  }
  return "";
}

}  // namespace

TEST_GROUP(Faults){};

// Guards against states that go back, differ between nodes or do not converge after any mix of
// lost, repeated and late messages, partitions, log outages, mass deaths, restarts and pauses.
TEST(Faults, PromisesHoldInRandomRuns) {
  const std::uint64_t first = ReadNumber("FAULT_SEED", 1);
  const std::uint64_t last =
      std::getenv("FAULT_SEED") != nullptr ? first : ReadNumber("FAULT_RUNS", kDefaultRuns);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string failure = RunOne(seed);
    CHECK_TEXT(failure.empty(), ("run " + std::to_string(seed) + ", " + failure).c_str());
  }
}

}  // namespace amaranthlatch::distribution::testing
