// Tests of the thread that writes log lines.

#include "observability/log_writer.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

namespace amaranthlatch::runtime::details {

namespace {

constexpr std::size_t kMaxWaitingBytes = 10000;
constexpr utils::Duration kLimit = utils::Seconds(10);
constexpr std::size_t kLineBytes = 100;

std::string Line() { return std::string(kLineBytes - 1, 'x') + "\n"; }

}  // namespace

TEST_GROUP(LogWriterTest) {
  std::array<int, 2> ends{};
  std::string received;

  void setup() override { LONGS_EQUAL(0, pipe(ends.data())); }
  void teardown() override {
    close(ends[0]);
    close(ends[1]);
  }

  // Fills the pipe, so that the next write waits. Returns the number of bytes.
  std::size_t Fill() {
    fcntl(ends[1], F_SETFL, O_NONBLOCK);
    std::size_t filled = 0;
    while (write(ends[1], "f", 1) == 1) {
      ++filled;
    }
    fcntl(ends[1], F_SETFL, 0);
    return filled;
  }

  // Reads what is there, without waiting.
  void Read() {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::array<char, 65536> buffer{};
    ssize_t bytes = 0;
    while ((bytes = read(ends[0], buffer.data(), buffer.size())) > 0) {
      received.append(buffer.data(), static_cast<std::size_t>(bytes));
    }
  }
};

// Guards against lines that are lost or come in another order.
TEST(LogWriterTest, WritesLinesInOrder) {
  LogWriter writer(ends[1], kMaxWaitingBytes);
  writer.Write("one\n");
  writer.Write("two\n");
  CHECK_TRUE(writer.Flush(kLimit));
  Read();
  STRCMP_EQUAL("one\ntwo\n", received.c_str());
  LONGS_EQUAL(0, writer.Dropped());
}

// Guards against a process that stands still, or grows, because nobody reads its log.
TEST(LogWriterTest, DropsLinesThatNobodyReads) {
  constexpr int kLines = 10000;
  const std::size_t filled = Fill();
  LogWriter writer(ends[1], kMaxWaitingBytes);
  for (int i = 0; i < kLines; ++i) {
    writer.Write(Line());
  }
  CHECK_FALSE(writer.Flush(utils::Milliseconds(1)));
  const std::uint64_t dropped = writer.Dropped();
  CHECK_TRUE(dropped > 0);
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!writer.Flush(utils::Milliseconds(1)) && std::chrono::steady_clock::now() < end) {
    Read();
  }
  Read();
  LONGS_EQUAL(filled + (kLines - dropped) * kLineBytes, received.size());
  writer.Write("after\n");
  CHECK_TRUE(writer.Flush(kLimit));
  Read();
  CHECK_TRUE(received.ends_with("after\n"));
  LONGS_EQUAL(dropped, writer.Dropped());
}

// Guards against losses that are not counted.
TEST(LogWriterTest, CountsWritesThatFail) {
  LogWriter writer(-1, kMaxWaitingBytes);
  writer.Write(Line());
  CHECK_TRUE(writer.Flush(kLimit));
  LONGS_EQUAL(1, writer.FailedWrites());
}

}  // namespace amaranthlatch::runtime::details
