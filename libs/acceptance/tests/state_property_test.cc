// Properties of the fold over random record sequences.

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

// Guards against nodes that disagree because one started from a snapshot (promise P9).
TEST(StateProperty, FoldingInPiecesThroughSnapshotsGivesTheSameState) {
  CHECK_TRUE(HoldsProperty(11, kRuns, [] {
    const Fold fold = AnyFold(kMaxRecords);
    State state;
    for (std::size_t i = 0; i < fold.records.size(); ++i) {
      RC_ASSERT(*state.Apply(i + 1, fold.records[i]) == fold.verdicts[i]);
      if (AnyBelow(4) == 0) {
        auto decoded = State::DecodeSnapshot(state.EncodeSnapshot());
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->Hash() == state.Hash());
        state = *decoded;
      }
    }
    RC_ASSERT(state.Hash() == fold.state.Hash());
    RC_ASSERT(state.EncodeSnapshot() == fold.state.EncodeSnapshot());
    RC_ASSERT(VisibleContent(state) == VisibleContent(fold.state));
  }));
}

// Guards against an append that is repeated after a lost answer and changes something.
TEST(StateProperty, RepeatedAppendsChangeNothing) {
  CHECK_TRUE(HoldsProperty(12, kRuns, [] {
    State state = AnyFold(kMaxRecords).state;
    const Offset offset = state.HeadOffset() + 1;
    const nlohmann::json record = AnyRecord(state);
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

// Guards against two publishers who both believe that they won.
TEST(StateProperty, ExactlyOneOfRacingPublishersWins) {
  CHECK_TRUE(HoldsProperty(13, kRuns, [] {
    State state = AnyFold(kMaxRecords).state;
    const std::string service = "racing";
    const Offset first = state.HeadOffset() + 1;
    state.Apply(first, PutRecord("start", MakeDocument(service), 0));
    const int publishers = 2 + AnyBelow(8);
    std::vector<Verdict> verdicts;
    for (int i = 0; i < publishers; ++i) {
      const std::string publish_id = "racer-" + std::to_string(i);
      nlohmann::json document = MakeDocument(service);
      document["owner"] = publish_id;
      verdicts.push_back(
          *state.Apply(state.HeadOffset() + 1, PutRecord(publish_id, document, first)));
    }
    RC_ASSERT(verdicts[0].outcome == Outcome::kAccepted);
    for (std::size_t i = 1; i < verdicts.size(); ++i) {
      RC_ASSERT(verdicts[i].code == ErrorCode::kBaseVersionMismatch);
      RC_ASSERT(verdicts[i].message.find("\"racer-0\"") != std::string::npos);
    }
    RC_ASSERT(state.Find(service)->owner == "racer-0");
  }));
}

// Guards against a bad version that is applied in part (P3), a route without its target (P2), a
// version that goes back (P1) and a copy that changes with the original.
TEST(StateProperty, RefusedRecordsChangeOnlyHeadHashAndHistory) {
  int accepted = 0;
  int refused = 0;
  CHECK_TRUE(HoldsProperty(14, kRuns, [&] {
    State state;
    for (int i = AnyBelow(kMaxRecords); i >= 0; --i) {
      const State before = state;
      const nlohmann::json content = VisibleContent(before);
      const std::uint64_t hash = before.Hash();
      const Verdict verdict = *state.Apply(state.HeadOffset() + 1, AnyRecord(state));
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
  // The sequences must reach both outcomes often for the property to say anything.
  CHECK_TRUE(accepted > 1000 && refused > 1000);
}

// Guards against bytes that crash the decoder or give a state without a check.
TEST(StateProperty, ArbitraryBytesAreNoSnapshot) {
  CHECK_TRUE(HoldsProperty(15, 500, [](const std::string& bytes) {
    for (const std::string& input : {bytes, Compress(bytes)}) {
      const auto state = State::DecodeSnapshot(input);
      RC_ASSERT_FALSE(state.has_value());
      RC_ASSERT(IsSnapshotCode(state.error().code));
    }
  }));
}

// As above, from the neighbourhood of valid snapshots, before and after compression.
TEST(StateProperty, DamagedSnapshotsAreRefused) {
  CHECK_TRUE(HoldsProperty(16, 1000, [](char byte) {
    const std::string bytes = AnyFold(10).state.EncodeSnapshot();
    for (const bool is_compressed : {false, true}) {
      const std::string valid = is_compressed ? bytes : Decompress(bytes);
      std::string damaged = valid;
      damaged[AnyBelow(valid.size())] = byte;
      const auto state = State::DecodeSnapshot(is_compressed ? damaged : Compress(damaged));
      // A byte of the compressed form can have no effect on the content.
      const bool is_sound = state ? Decompress(state->EncodeSnapshot()) == Decompress(bytes)
                                  : IsSnapshotCode(state.error().code);
      RC_ASSERT(is_sound);
    }
  }));
}

// Guards against a stack that overflows and memory that a few bytes make large.
TEST(StateProperty, NestedAndInflatedSnapshotsAreRefused) {
  std::string content;
  content.resize(10'000'000, '\x81');
  const std::string nested = Compress(content);
  CHECK_TRUE(State::DecodeSnapshot(nested).error().code == ErrorCode::kSnapshotMalformed);
  content.resize(kMaxSnapshotBytes + 1);
  const std::string inflated = Compress(content);
  CHECK_TRUE(State::DecodeSnapshot(inflated).error().code == ErrorCode::kSnapshotMalformed);
}

// Guards against a map that loses entries or changes older copies.
TEST(StateProperty, PersistentMapAgreesWithAnOrderedMap) {
  CHECK_TRUE(HoldsProperty(17, 300, [](const std::vector<std::pair<std::uint8_t, bool>>& steps) {
    details::PersistentMap<std::uint64_t, std::size_t> map;
    std::map<std::uint64_t, std::size_t> model;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const auto copy = map;
      const std::size_t size = copy.Size();
      if (steps[i].second) {
        map.Put(steps[i].first, i);
        model[steps[i].first] = i;
      } else {
        map.Erase(std::uint64_t{steps[i].first});
        model.erase(steps[i].first);
      }
      RC_ASSERT(copy.Size() == size);
      RC_ASSERT(map.Size() == model.size());
    }
    std::map<std::uint64_t, std::size_t> content;
    map.ForEach([&](const auto& entry) { content[entry.key] = entry.value; });
    RC_ASSERT(content == model);
    std::vector<std::uint64_t> upper;
    map.ForEachFrom(std::uint64_t{100}, [&](const auto& entry) {
      upper.push_back(entry.key);
      return true;
    });
    RC_ASSERT(static_cast<std::ptrdiff_t>(upper.size()) ==
              std::distance(model.lower_bound(100), model.end()));
    const bool is_first_lowest = model.empty() || map.First()->key == model.begin()->first;
    RC_ASSERT(is_first_lowest);
  }));
}

}  // namespace amaranthlatch::acceptance
