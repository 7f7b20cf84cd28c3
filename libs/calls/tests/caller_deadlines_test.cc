// Tests of the age of a caller's request, and of the queues that it shortens.

#include "caller_deadlines.h"

#include <CppUTest/TestHarness.h>

namespace amaranthlatch::calls::details {

using utils::Milliseconds;

TEST_GROUP(CallerDeadlines) {
  CallerDeadlines deadlines;

  void Record(int count, std::int64_t ms) {
    for (int i = 0; i < count; ++i) {
      this->deadlines.RecordAge(1, Milliseconds(ms));
    }
  }
  bool HasAge(std::int64_t remaining_ms, std::int64_t age_ms) {
    return this->deadlines.RecordAge(1, Milliseconds(remaining_ms)) == Milliseconds(age_ms);
  }
};

// Guards against repeated requests that are taken for first ones, and against a few callers with
// more time that make all others look old.
TEST(CallerDeadlines, RepeatedRequestsAreAsOldAsTheTimeTheyLack) {
  CHECK_TRUE(this->HasAge(2'700, 0));
  for (int i = 0; i < 16; ++i) {
    this->Record(1, 3'000);
    this->Record(1, 2'800);
    this->Record(1, 2'500);
  }
  this->Record(4, 30'000);
  CHECK_TRUE(this->HasAge(2'995, 0));
  CHECK_TRUE(this->HasAge(3'000, 0));
  CHECK_TRUE(this->HasAge(2'600, 400));
  CHECK_TRUE(this->HasAge(30'000, 0));
  // Other routes are not concerned.
  CHECK_TRUE(this->deadlines.RecordAge(2, Milliseconds(100)) == utils::Duration{});
  // Callers that wait for another time from now on are the usual ones soon.
  this->Record(64, 1'000);
  CHECK_TRUE(this->HasAge(1'000, 0));
}

// Guards against callers with little time that are taken for old ones where each has another time.
TEST(CallerDeadlines, NoAgeWithoutUsualTime) {
  for (int i = 0; i < 256; ++i) {
    CHECK_TRUE(this->HasAge(500 + (i * 37) % 2'500, 0));
  }
}

}  // namespace amaranthlatch::calls::details
