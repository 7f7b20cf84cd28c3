// Tests for result codes, errors, random numbers, hashes and clocks.

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "amaranthlatch/utils/clock.h"
#include "amaranthlatch/utils/hash.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::utils {

TEST_GROUP(Utils){};

// Guards against result codes that are missing from docs/result-codes.md, and rows without a code.
TEST(Utils, ResultCodesMatchTheDocumentation) {
  std::ifstream page("docs/result-codes.md");
  std::stringstream text;
  text << page.rdbuf();
  const std::string content = text.str();
  const std::regex row(R"(\| (\d{4}|0) \| `([a-z0-9-]+)` \|)");
  std::set<std::string> documented;
  for (std::sregex_iterator it(content.begin(), content.end(), row), end; it != end; ++it) {
    documented.insert((*it)[1].str() + " " + (*it)[2].str());
  }
  std::set<std::string> defined;
  for (const auto& [code, name] : AllErrorCodes()) {
    defined.insert(std::to_string(ToNumber(code)) + " " + std::string(name));
  }
  CHECK_TRUE(documented == defined);
}

// Guards against an error text that omits the result code or the invalid field.
TEST(Utils, ErrorTextContainsCodeAndField) {
  const Error error{ErrorCode::kDocumentUnknownField, "unknown field", "/routes/0/foo"};
  STRCMP_EQUAL("1003 document-unknown-field at /routes/0/foo: unknown field",
               ToString(error).c_str());
}

// Guards against runs that cannot be reproduced from their seed, and values outside the range.
TEST(Utils, SameSeedYieldsTheSameSequence) {
  Random first(7);
  Random second(7);
  for (int i = 0; i < 100; ++i) {
    CHECK_TRUE(first.Next() == second.Next());
    const double real = first.UniformReal();
    CHECK_TRUE(real == second.UniformReal());
    CHECK_TRUE(real >= 0.0 && real < 1.0);
  }
  CHECK_TRUE(first.Jitter(Duration::zero()) == Duration::zero());
  CHECK_TRUE(first.Jitter(Milliseconds(5)) < Milliseconds(5));
}

// Guards against rendezvous weights that reassign keys of the remaining candidates when one is
// removed.
TEST(Utils, RemovingACandidateReassignsOnlyItsKeys) {
  const std::vector<std::string> candidates = {"a", "b", "c", "d"};
  const auto owner = [&candidates](const std::string& key, std::size_t count) {
    std::string best;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < count; ++i) {
      const std::uint64_t weight = RendezvousWeight(key, candidates[i]);
      if (weight >= best_weight) {
        best_weight = weight;
        best = candidates[i];
      }
    }
    return best;
  };
  for (int i = 0; i < 200; ++i) {
    const std::string key = std::to_string(i);
    const std::string before = owner(key, 4);
    if (before != "d") {
      STRCMP_EQUAL(before.c_str(), owner(key, 3).c_str());
    }
  }
}

// Guards against test time that changes without a call to Advance().
TEST(Utils, ManualClockChangesOnlyWhenAdvanced) {
  ManualClock clock;
  const Timestamp start = clock.Now();
  CHECK_TRUE(clock.Now() == start);
  clock.Advance(Seconds(2));
  CHECK_EQUAL(2000, ToMilliseconds(clock.Now() - start));
}

}  // namespace amaranthlatch::utils
