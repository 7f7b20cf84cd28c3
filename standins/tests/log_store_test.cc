// Tests of the stand-in for the platform's log.

#include "standins/platform_log/log_store.h"

#include <CppUTest/TestHarness.h>

namespace amaranthlatch::standins {

TEST_GROUP(LogStore){};

// Guards against a stand-in whose offsets differ from the protocol of the platform's log.
TEST(LogStore, OffsetsStartAtOneAndFollowEachOther) {
  LogStore store;
  CHECK_TRUE(store.Append("config", 1) == 1);
  CHECK_TRUE(store.Append("config", 2) == 2);
  CHECK_TRUE(store.Append("other", 3) == 1);
  const StreamPage page = store.Read("config", 2, 10);
  CHECK_EQUAL(1U, page.records.size());
  CHECK_TRUE(page.head == 2 && page.next == 3 && !page.truncated);
}

// Guards against truncated history that looks like an empty stream.
TEST(LogStore, ReadBelowTheFirstKeptOffsetIsTruncated) {
  LogStore store;
  store.SetRetention(2);
  for (int i = 0; i < 5; ++i) {
    store.Append("config", i);
  }
  CHECK_TRUE(store.Read("config", 3, 10).truncated);
  const StreamPage page = store.Read("config", 4, 10);
  CHECK_FALSE(page.truncated);
  CHECK_TRUE(page.first_kept == 4);
  CHECK_EQUAL(2U, page.records.size());
}

// Guards against a page that skips records where the limit cuts it.
TEST(LogStore, LimitedReadNamesTheNextOffset) {
  LogStore store;
  for (int i = 0; i < 5; ++i) {
    store.Append("config", i);
  }
  CHECK_TRUE(store.Read("config", 1, 3).next == 4);
  CHECK_TRUE(store.Read("config", 6, 3).next == 6);
}

}  // namespace amaranthlatch::standins
