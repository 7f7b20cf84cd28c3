// Property tests of the accepted state over random record sequences.

#include <CppUTest/TestHarness.h>
#include <zstd.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "persistent_map.h"
#include "property_test.h"
#include "record_generator.h"

namespace amaranthlatch::acceptance {

using utils::ErrorCode;

namespace {

constexpr int kRuns = 150;
constexpr int kMaxRecords = 60;

std::string Compress(const std::string& content) {
  std::string bytes(ZSTD_compressBound(content.size()), '\0');
  bytes.resize(ZSTD_compress(bytes.data(), bytes.size(), content.data(), content.size(), 1));
  return bytes;
}

std::string Decompress(const std::string& bytes) {
  std::string content(ZSTD_getFrameContentSize(bytes.data(), bytes.size()), '\0');
  ZSTD_decompress(content.data(), content.size(), bytes.data(), bytes.size());
  return content;
}

bool IsSnapshotCode(ErrorCode code) {
  return code == ErrorCode::kSnapshotMalformed || code == ErrorCode::kSnapshotHashMismatch;
}

}  // namespace

TEST_GROUP(StateProperty){};

// Guards against nodes whose states differ because one started from a snapshot (guarantee P9).
TEST(StateProperty, ApplyingRecordsAcrossSnapshotsGivesTheSameState) {
  CHECK_TRUE(HoldsProperty(11, kRuns, [] {
    const AppliedRecords applied = ArbitraryAppliedRecords(kMaxRecords);
    State state;
    for (std::size_t i = 0; i < applied.records.size(); ++i) {
      RC_ASSERT(*state.Apply(i + 1, applied.records[i]) == applied.verdicts[i]);
      if (ArbitraryBelow(4) == 0) {
        auto decoded = State::DecodeSnapshot(state.EncodeSnapshot());
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->Hash() == state.Hash());
        state = *decoded;
      }
    }
    RC_ASSERT(state.Hash() == applied.state.Hash());
    RC_ASSERT(state.EncodeSnapshot() == applied.state.EncodeSnapshot());
    RC_ASSERT(VisibleContent(state) == VisibleContent(applied.state));
  }));
}

// Guards against a second change by an append that was retried after its response was lost.
TEST(StateProperty, RepeatedAppendsChangeNothing) {
  CHECK_TRUE(HoldsProperty(12, kRuns, [] {
    State state = ArbitraryAppliedRecords(kMaxRecords).state;
    const Offset offset = state.HeadOffset() + 1;
    const nlohmann::json record = ArbitraryRecord(state);
    const Verdict first = *state.Apply(offset, record);
    const nlohmann::json content = VisibleContent(state);
    const auto history = state.History(first.service);
    for (Offset repeat = 1; repeat <= 3; ++repeat) {
      Verdict verdict = *state.Apply(offset + repeat, record);
      if (first.code == ErrorCode::kRecordMalformed) {
        RC_ASSERT(verdict.code == ErrorCode::kRecordMalformed);
        continue;
      }
      RC_ASSERT(verdict.outcome == Outcome::kDuplicate);
      verdict.outcome = first.outcome;
      RC_ASSERT(verdict == first);
    }
    RC_ASSERT(VisibleContent(state) == content);
    RC_ASSERT(state.History(first.service) == history);
  }));
}

// Guards against two publishers whose changes to one base version are both accepted.
TEST(StateProperty, ExactlyOneConcurrentPublisherIsAccepted) {
  CHECK_TRUE(HoldsProperty(13, kRuns, [] {
    State state = ArbitraryAppliedRecords(kMaxRecords).state;
    const std::string service = "concurrent";
    const Offset base_version = state.HeadOffset() + 1;
    state.Apply(base_version, MakePutRecord("start", MakeDocument(service), 0));
    const int publisher_count = 2 + ArbitraryBelow(8);
    std::vector<Verdict> verdicts;
    for (int i = 0; i < publisher_count; ++i) {
      const std::string publish_id = "publisher-" + std::to_string(i);
      nlohmann::json document = MakeDocument(service);
      document["owner"] = publish_id;
      verdicts.push_back(
          *state.Apply(state.HeadOffset() + 1, MakePutRecord(publish_id, document, base_version)));
    }
    RC_ASSERT(verdicts[0].outcome == Outcome::kAccepted);
    for (std::size_t i = 1; i < verdicts.size(); ++i) {
      RC_ASSERT(verdicts[i].code == ErrorCode::kBaseVersionMismatch);
      RC_ASSERT(verdicts[i].message.find("\"publisher-0\"") != std::string::npos);
    }
    RC_ASSERT(state.Find(service)->owner == "publisher-0");
  }));
}

// Guards against a refused version that is applied in part (P3), a route without its target (P2), a
// version that decreases (P1) and a copy that changes with the original.
TEST(StateProperty, RefusedRecordsChangeOnlyHeadHashAndHistory) {
  int accepted = 0;
  int refused = 0;
  CHECK_TRUE(HoldsProperty(14, kRuns, [&] {
    State state;
    for (int i = ArbitraryBelow(kMaxRecords); i >= 0; --i) {
      const State before = state;
      const nlohmann::json content = VisibleContent(before);
      const std::uint64_t hash = before.Hash();
      const Verdict verdict = *state.Apply(state.HeadOffset() + 1, ArbitraryRecord(state));
      RC_ASSERT(state.FirstDanglingReference().empty());
      RC_ASSERT(state.Hash() != hash);
      RC_ASSERT(before.Hash() == hash);
      RC_ASSERT(VisibleContent(before) == content);
      if (verdict.outcome == Outcome::kAccepted) {
        ++accepted;
        RC_ASSERT(verdict.offset > verdict.replaced);
      } else {
        ++refused;
        RC_ASSERT(VisibleContent(state) == content);
      }
    }
  }));
  // The property is only meaningful if both outcomes are frequent.
  CHECK_TRUE(accepted > 1000 && refused > 1000);
}

// Guards against bytes that crash the decoder or are decoded without validation.
TEST(StateProperty, ArbitraryBytesAreRefused) {
  CHECK_TRUE(HoldsProperty(15, 500, [](const std::string& bytes) {
    for (const std::string& input : {bytes, Compress(bytes)}) {
      const auto state = State::DecodeSnapshot(input);
      RC_ASSERT_FALSE(state.has_value());
      RC_ASSERT(IsSnapshotCode(state.error().code));
    }
  }));
}

// As above, for valid snapshots with one byte overwritten before or after compression.
TEST(StateProperty, CorruptedSnapshotsAreRefused) {
  CHECK_TRUE(HoldsProperty(16, 1000, [](char byte) {
    const std::string bytes = ArbitraryAppliedRecords(10).state.EncodeSnapshot();
    for (const bool is_compressed : {false, true}) {
      const std::string valid = is_compressed ? bytes : Decompress(bytes);
      std::string corrupted = valid;
      corrupted[ArbitraryBelow(valid.size())] = byte;
      const auto state = State::DecodeSnapshot(is_compressed ? corrupted : Compress(corrupted));
      // Overwriting a byte of the compressed form may leave the content unchanged.
      const bool is_valid_result = state ? Decompress(state->EncodeSnapshot()) == Decompress(bytes)
                                         : IsSnapshotCode(state.error().code);
      RC_ASSERT(is_valid_result);
    }
  }));
}

// Guards against a stack overflow by nested arrays and a large allocation by a small input.
TEST(StateProperty, DeeplyNestedAndOversizedSnapshotsAreRefused) {
  std::string content;
  content.resize(10'000'000, '\x81');
  const std::string nested = Compress(content);
  CHECK_TRUE(State::DecodeSnapshot(nested).error().code == ErrorCode::kSnapshotMalformed);
  content.resize(kMaxSnapshotBytes + 1);
  const std::string oversized = Compress(content);
  CHECK_TRUE(State::DecodeSnapshot(oversized).error().code == ErrorCode::kSnapshotMalformed);
}

// Guards against a map that loses entries or whose older copies change.
TEST(StateProperty, PersistentMapMatchesStdMap) {
  CHECK_TRUE(HoldsProperty(17, 300, [](const std::vector<std::pair<std::uint8_t, bool>>& steps) {
    details::PersistentMap<std::uint64_t, std::size_t> map;
    std::map<std::uint64_t, std::size_t> expected;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const auto copy = map;
      const std::size_t size = copy.Size();
      if (steps[i].second) {
        map.Put(steps[i].first, i);
        expected[steps[i].first] = i;
      } else {
        map.Erase(std::uint64_t{steps[i].first});
        expected.erase(steps[i].first);
      }
      RC_ASSERT(copy.Size() == size);
      RC_ASSERT(map.Size() == expected.size());
    }
    std::map<std::uint64_t, std::size_t> content;
    map.ForEach([&](const auto& entry) { content[entry.key] = entry.value; });
    RC_ASSERT(content == expected);
    std::vector<std::uint64_t> upper;
    map.ForEachFrom(std::uint64_t{100}, [&](const auto& entry) {
      upper.push_back(entry.key);
      return true;
    });
    RC_ASSERT(static_cast<std::ptrdiff_t>(upper.size()) ==
              std::distance(expected.lower_bound(100), expected.end()));
    const bool is_first_lowest = expected.empty() || map.First()->key == expected.begin()->first;
    RC_ASSERT(is_first_lowest);
  }));
}

}  // namespace amaranthlatch::acceptance
