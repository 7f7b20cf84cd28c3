// Tests of the log lines of calls that failed.

#include <CppUTest/TestHarness.h>

#include "dialect_gateway.h"

namespace amaranthlatch::runtime::details {

using utils::ErrorCode;
using utils::Milliseconds;
using utils::Timestamp;

namespace {

class FixedConfiguration final : public ConfigurationView {
 public:
  directory::ConfigurationStatus Status() const override { return this->status; }
  bool HasHost(std::string_view host) const override { return host == "known.example"; }

  directory::ConfigurationStatus status;
};

}  // namespace

TEST_GROUP(CallLog) {
  FixedConfiguration configuration;
  OpenCall call{Timestamp(Milliseconds(5000)), "7f", "known.example", "/a/b", {}};

  std::string Describe(ErrorCode code) const {
    calls::Answer answer;
    answer.kind = calls::ResultKind::kNotRun;
    answer.code = code;
    return DescribeFailure(this->call, answer, this->configuration, Timestamp(Milliseconds(5020)))
        .Text();
  }
  bool Contains(ErrorCode code, const std::string& part) const {
    return (this->Describe(code) + " ").find(" " + part + " ") != std::string::npos;
  }
};

// Guards against a refusal whose line does not tell an old configuration from a route that the
// newest one lacks.
TEST(CallLog, RefusalTellsVersionAndAgeOfKnowledge) {
  this->call.configuration = {41, Timestamp(Milliseconds(3000)), Timestamp(Milliseconds(4700))};
  CHECK_TRUE(this->Contains(ErrorCode::kNoRoute, "host=known.example target=/a/b"));
  CHECK_TRUE(this->Contains(ErrorCode::kNoRoute, "after_ms=20"));
  CHECK_TRUE(this->Contains(ErrorCode::kNoRoute,
                            "version=41 in_force_ms=2000 confirmed_ms=300 host_known=true"));
  this->call.host = "other.example";
  CHECK_TRUE(this->Contains(ErrorCode::kNoRoute, "host_known=false"));
  CHECK_FALSE(this->Contains(ErrorCode::kQueueFull, "host_known=false"));
  CHECK_TRUE(this->Contains(ErrorCode::kQueueFull, "version=41"));
}

// Guards against ages of a configuration that is not there.
TEST(CallLog, NodeWithoutConfigurationNamesNoAges) {
  CHECK_TRUE(this->Contains(ErrorCode::kNodeNotReady, "version=0"));
  STRCMP_EQUAL("", this->Describe(ErrorCode::kNodeNotReady)
                       .substr(this->Describe(ErrorCode::kNodeNotReady).find("version=0") + 9)
                       .c_str());
}

// Guards against lines of refused keys that cannot be told apart, and against hashes of keys that
// were not the reason.
TEST(CallLog, RefusedKeyIsNamedByItsHash) {
  this->call.key_hash = 7;
  CHECK_TRUE(this->Contains(ErrorCode::kKeyUnknown, "key_hash=7"));
  CHECK_FALSE(this->Contains(ErrorCode::kQueueFull, "key_hash=7"));
}

// Guards against a node whose failing calls write lines without limit, and against lines that are
// dropped without a count.
TEST(CallLog, LinesOfOneSecondAreLimited) {
  LineRateLimit lines;
  int permitted = 0;
  for (int i = 0; i < 50; ++i) {
    permitted += lines.Permit(Timestamp(Milliseconds(1000 + i))) ? 1 : 0;
  }
  LONGS_EQUAL(20, permitted);
  LONGS_EQUAL(30, lines.Dropped());
  CHECK_TRUE(lines.Permit(Timestamp(Milliseconds(2000))));
}

}  // namespace amaranthlatch::runtime::details
