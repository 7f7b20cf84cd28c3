// Test of the time within which a version is in force, under random faults of other nodes and of
// links that overlap.

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdlib>
#include <set>
#include <string>
#include <utility>

#include "shared_reads_mesh.h"

namespace amaranthlatch::directory::testing {

using utils::Duration;
using utils::Milliseconds;
using utils::Seconds;

namespace {

// Bounds of the users' settings.
constexpr Duration kStableWindow = Seconds(3);
constexpr Duration kConfigApply = Milliseconds(2500);
constexpr Duration kStep = Milliseconds(50);

struct MeshSize {
  std::size_t zones = 0;
  std::size_t nodes_per_zone = 0;
};
constexpr std::array<MeshSize, 8> kSizes = {
    {{6, 5}, {5, 10}, {1, 5}, {2, 5}, {9, 4}, {3, 10}, {2, 33}, {6, 7}}};

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Plays random faults on a mesh.
class RandomFaults {
 public:
  RandomFaults(std::uint64_t seed, MeshSize size)
      : random(seed),
        size(size),
        mesh(seed, size.zones, size.nodes_per_zone, random.Bernoulli(0.5)) {}

  SharedReadsMesh& Mesh() { return this->mesh; }
  // The faults so far, for the message of a failure.
  const std::string& Text() const { return this->text; }

  void Add() {
    const std::size_t node = this->PickNode();
    const Duration time = Milliseconds(300) + this->random.Jitter(Seconds(6));
    switch (this->random.Uniform(8)) {
      case 0:
        this->CutZones(time);
        break;
      case 1:
        this->CutNode(node, time);
        break;
      case 2:
        this->HarmRegister(time);
        break;
      case 3:
        this->LoseMessages(time);
        break;
      case 4:
        this->Note("kill", node, time);
        this->Restart(node, time);
        break;
      case 5:
        this->Note("freeze", node, time);
        this->mesh.Freeze(node);
        this->mesh.Schedule(time, [this, node] { this->mesh.Thaw(node); });
        break;
      case 6:
        this->Note("drain", node, time);
        this->mesh.Drain(node);
        this->mesh.Schedule(Milliseconds(200) + this->random.Jitter(Seconds(3)),
                            [this, node, time] { this->Restart(node, time); });
        break;
      default:
        this->HarmRegister(time);
        this->CutZones(time);
        break;
    }
  }

 private:
  std::size_t ZoneOf(std::size_t node) const { return node / this->size.nodes_per_zone; }

  // Mostly a reader, because others matter less.
  std::size_t PickNode() {
    const std::vector<std::size_t> readers =
        this->mesh.Readers(this->random.Uniform(this->size.zones));
    return readers.empty() || this->random.Bernoulli(0.3)
               ? this->random.Uniform(this->mesh.Size())
               : readers[this->random.Uniform(readers.size())];
  }

  void Note(const std::string& fault, std::size_t node, Duration time) {
    this->text += " " + std::to_string(utils::ToMilliseconds(this->mesh.Now().time_since_epoch())) +
                  ":" + fault + "(" + std::to_string(node) + "," +
                  std::to_string(utils::ToMilliseconds(time)) + ")";
  }

  void Restart(std::size_t node, Duration time) {
    this->mesh.Kill(node);
    this->mesh.Schedule(time, [this, node] {
      if (!this->mesh.At(node).directory) {
        this->mesh.Start(node, false);
      }
    });
  }

  // Cuts a zone from one or all others.
  void CutZones(Duration time) {
    const std::size_t zone = this->random.Uniform(this->size.zones);
    const std::size_t other = this->random.Uniform(this->size.zones);
    const bool in = this->random.Bernoulli(0.7);
    const bool out = !in || this->random.Bernoulli(0.7);
    this->Note("cut-zone", zone, time);
    SharedReadsMesh::Fault fault;
    fault.end = this->mesh.Now() + time;
    fault.drops_message = [this, zone, other, in, out](std::size_t from, std::size_t to) {
      const std::size_t from_zone = this->ZoneOf(from);
      const std::size_t to_zone = this->ZoneOf(to);
      const auto is_cut = [zone, other](std::size_t left, std::size_t right) {
        return left == zone && right != zone && (other == zone || right == other);
      };
      return (out && is_cut(from_zone, to_zone)) || (in && is_cut(to_zone, from_zone));
    };
    this->mesh.AddFault(std::move(fault));
  }

  // Cuts a node from some or all others.
  void CutNode(std::size_t node, Duration time) {
    std::set<std::size_t> others;
    const double share = this->random.Bernoulli(0.5) ? 1 : 0.5;
    for (std::size_t i = 0; i < this->mesh.Size(); ++i) {
      if (this->random.Bernoulli(share)) {
        others.insert(i);
      }
    }
    const bool in = this->random.Bernoulli(0.7);
    const bool out = !in || this->random.Bernoulli(0.7);
    this->Note("cut-node", node, time);
    SharedReadsMesh::Fault fault;
    fault.end = this->mesh.Now() + time;
    fault.drops_message = [node, in, out, others = std::move(others)](std::size_t from,
                                                                      std::size_t to) {
      return (out && from == node && others.contains(to)) ||
             (in && to == node && others.contains(from));
    };
    this->mesh.AddFault(std::move(fault));
  }

  void LoseMessages(Duration time) {
    const double share = 0.1 + 0.4 * static_cast<double>(this->random.Uniform(100)) / 100;
    this->Note("lose-messages", 0, time);
    SharedReadsMesh::Fault fault;
    fault.end = this->mesh.Now() + time;
    fault.drops_message = [this, share](std::size_t, std::size_t) {
      return this->random.Bernoulli(share);
    };
    this->mesh.AddFault(std::move(fault));
  }

  // The register refuses some nodes, gives them no answer, or loses a share of its answers.
  void HarmRegister(Duration time) {
    SharedReadsMesh::Fault fault;
    fault.end = this->mesh.Now() + time;
    const double share = this->random.Bernoulli(0.5) ? 0 : 0.3;
    const bool all_readers = this->random.Bernoulli(0.3);
    fault.nodes.insert(this->PickNode());
    for (std::size_t zone = 0; zone < this->size.zones && all_readers; ++zone) {
      for (const std::size_t reader : this->mesh.Readers(zone)) {
        fault.nodes.insert(reader);
      }
    }
    for (std::size_t i = 0; i < this->mesh.Size(); ++i) {
      if (this->random.Bernoulli(share)) {
        fault.nodes.insert(i);
      }
    }
    fault.refuses = this->random.Bernoulli(0.3);
    fault.lost_answers = this->random.Bernoulli(0.6) ? 1 : 0.3;
    this->Note(fault.refuses ? "refuse" : "lose-answers", *fault.nodes.begin(), time);
    this->mesh.AddFault(std::move(fault));
  }

  utils::Random random;
  const MeshSize size;
  SharedReadsMesh mesh;
  std::string text;
};

}  // namespace

TEST_GROUP(ConfigurationBound){};

// Guards against versions that come into force late, or decrease, on nodes whose process runs and
// whose path to the register is whole, while other nodes and links fail. CONFIGURATION_BOUND_SEED
// and CONFIGURATION_BOUND_RUNS choose other runs.
TEST(ConfigurationBound, FaultsOfOthersDelayNoSoundNode) {
  const std::uint64_t first_seed = FromEnvironment("CONFIGURATION_BOUND_SEED", 1);
  const std::uint64_t runs = FromEnvironment("CONFIGURATION_BOUND_RUNS", 24);
  for (std::uint64_t seed = first_seed; seed < first_seed + runs; ++seed) {
    RandomFaults faults(seed, kSizes.at(seed % kSizes.size()));
    SharedReadsMesh& mesh = faults.Mesh();
    utils::Random random(seed + 1'000'000);
    mesh.Run(Seconds(8));
    document::Version version = 1;
    const utils::Timestamp end = mesh.Now() + Seconds(40);
    utils::Timestamp next_fault = mesh.Now();
    utils::Timestamp next_version = mesh.Now();
    while (mesh.Now() < end) {
      if (mesh.Now() >= next_fault) {
        faults.Add();
        next_fault = mesh.Now() + random.Jitter(Milliseconds(2500));
      }
      if (mesh.Now() >= next_version) {
        mesh.Publish(++version);
        next_version = mesh.Now() + random.Jitter(random.Bernoulli(0.5) ? Seconds(1) : Seconds(6));
      }
      mesh.Run(random.Jitter(kStep));
      const std::vector<std::size_t> late = mesh.FindLateNodes(kStableWindow + kStep, kConfigApply);
      if (!late.empty()) {
        const SharedReadsMesh::Node& node = mesh.At(late.front());
        FAIL((node.options.id + " has version " + std::to_string(node.version) + " at " +
              std::to_string(utils::ToMilliseconds(mesh.Now().time_since_epoch())) +
              ", published " + std::to_string(version) + "; seed " + std::to_string(seed) + ":" +
              faults.Text())
                 .c_str());
      }
      STRCMP_EQUAL_TEXT("", mesh.FirstError().c_str(), std::to_string(seed).c_str());
    }
  }
}

}  // namespace amaranthlatch::directory::testing
