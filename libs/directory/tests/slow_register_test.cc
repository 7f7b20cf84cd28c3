// Tests of the load on a slow register at full size.

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <string>

#include "shared_reads_mesh.h"

namespace amaranthlatch::directory::testing {

using utils::Milliseconds;
using utils::Seconds;

namespace {
constexpr std::size_t kZones = 9;
constexpr std::size_t kNodesPerZone = 33;
constexpr utils::Duration kSlowTime = Seconds(10);
// 2,000 calls a second.
constexpr utils::Duration kTurn = utils::Duration(500);
constexpr utils::Duration kStableWindow = Seconds(3);
}  // namespace

TEST_GROUP(SlowRegister){};

// Guards against nodes that all read by themselves, and go on to, because a register is slow.
// SLOW_REGISTER_SEED chooses another run.
TEST(SlowRegister, LoadFallsBackToOneReaderPerZone) {
  const char* const seed_text = std::getenv("SLOW_REGISTER_SEED");
  const std::uint64_t seed = seed_text == nullptr ? 7 : std::strtoull(seed_text, nullptr, 10);
  const Options options;
  for (const int answer_ms : {1000, 2000}) {
    const std::string text = "answers after " + std::to_string(answer_ms) + " ms";
    SharedReadsMesh mesh(seed, kZones, kNodesPerZone, true);
    mesh.Run(Seconds(30));
    std::uint64_t calls = mesh.RegisterCalls();
    mesh.SetRegisterSpeed(Milliseconds(answer_ms), kTurn);
    mesh.Run(kSlowTime / 2);
    mesh.Publish(2);
    mesh.Run(kSlowTime / 2);
    // A check of each node at most as often as its configuration is too old.
    const auto checks = static_cast<std::uint64_t>(kSlowTime / options.check_time);
    CHECK_TRUE_TEXT(mesh.RegisterCalls() - calls <= mesh.Size() * checks, text.c_str());
    mesh.SetRegisterSpeed(Milliseconds(20), kTurn);
    mesh.Run(kStableWindow);
    for (std::size_t i = 0; i < mesh.Size(); ++i) {
      CHECK_EQUAL_TEXT(2, mesh.At(i).version, text.c_str());
    }
    mesh.Run(Seconds(37));
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      CHECK_EQUAL_TEXT(1, mesh.Readers(zone).size(), text.c_str());
    }
    STRCMP_EQUAL_TEXT("", mesh.FirstError().c_str(), text.c_str());
  }
}

}  // namespace amaranthlatch::directory::testing
