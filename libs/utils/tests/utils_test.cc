// Tests of the basic types.

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

// Guards against a result code that operators cannot look up.
TEST(Utils, EveryResultCodeHasARowInTheDocs) {
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

// Guards against an error text that does not name the field at fault.
TEST(Utils, ErrorTextNamesCodeAndField) {
  const Error error{ErrorCode::kDocumentUnknownField, "unknown field", "/routes/0/foo"};
  STRCMP_EQUAL("1003 document-unknown-field at /routes/0/foo: unknown field",
               ToString(error).c_str());
}

// Guards against runs that cannot be repeated from their seed.
TEST(Utils, RandomRepeatsForTheSameSeed) {
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

// Guards against a rendezvous order that moves more than the keys of a removed candidate.
TEST(Utils, RendezvousMovesOnlyKeysOfTheRemovedCandidate) {
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

// Guards against time that passes in tests without being advanced.
TEST(Utils, ManualClockMovesOnlyWhenAdvanced) {
  ManualClock clock;
  const Timestamp start = clock.Now();
  CHECK_TRUE(clock.Now() == start);
  clock.Advance(Seconds(2));
  CHECK_EQUAL(2000, ToMilliseconds(clock.Now() - start));
}

}  // namespace amaranthlatch::utils
