// Tests of the message envelope.

#include "amaranthlatch/node/envelope.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "amaranthlatch/node/message_codec.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::node {

namespace {

using utils::ErrorCode;

constexpr const char* kSecret = "a secret of this mesh";

Message SampleMessage(std::uint64_t sequence) {
  return membership::Message(membership::Probe{sequence, {{"zone", 7}}});
}

Envelope MakeEnvelope(const std::string& id, std::uint64_t boot, const char* secret = kSecret) {
  return *Envelope::Create(id, boot, secret);
}

}  // namespace

TEST_GROUP(Envelope){};

// Guards against an envelope round trip that alters a message.
TEST(Envelope, MessagesOfAllModulesRoundTrip) {
  Envelope sender = MakeEnvelope("10.0.0.1:1", 5);
  Envelope receiver = MakeEnvelope("10.0.0.2:1", 6);
  const std::vector<Message> messages = {
      SampleMessage(1), distribution::Message(distribution::Digest{3, 4}),
      calls::Message(calls::CallCancel{{"10.0.0.1:1", 5, 6, 7}, true})};
  for (const Message& message : messages) {
    const auto opened = receiver.Open(*sender.Seal("10.0.0.2:1", message));
    CHECK_TRUE(opened.has_value());
    CHECK_TRUE(*opened == (Envelope::OpenedMessage{"10.0.0.1:1", 5, message}));
  }
}

// Guards against accepting messages from senders without the secret, altered messages, and messages
// sealed for another node.
TEST(Envelope, ForgedOrAlteredMessagesAreRejected) {
  Envelope sender = MakeEnvelope("10.0.0.1:1", 5);
  Envelope forger = MakeEnvelope("10.0.0.1:1", 5, "another secret");
  Envelope receiver = MakeEnvelope("10.0.0.2:1", 6);
  const auto code_of = [&receiver](const std::string& bytes) {
    const auto opened = receiver.Open(bytes);
    return opened ? ErrorCode::kOk : opened.error().code;
  };
  CHECK_TRUE(code_of(*forger.Seal("10.0.0.2:1", SampleMessage(1))) ==
             ErrorCode::kMessageNotAuthentic);
  CHECK_TRUE(code_of(*sender.Seal("10.0.0.3:1", SampleMessage(1))) ==
             ErrorCode::kMessageNotAuthentic);
  const std::string sealed = *sender.Seal("10.0.0.2:1", SampleMessage(2));
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    std::string altered = sealed;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    CHECK_TRUE(code_of(altered) == ErrorCode::kMessageNotAuthentic);
    CHECK_TRUE(code_of(sealed.substr(0, i)) == ErrorCode::kMessageNotAuthentic);
  }
  CHECK_TRUE(code_of(sealed) == ErrorCode::kOk);
}

// Guards against accepting replayed messages and against rejecting reordered ones.
TEST(Envelope, ReplaysAreRejectedAndReorderingIsAccepted) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    utils::Random random(seed);
    Envelope sender = MakeEnvelope("10.0.0.1:1", 5);
    Envelope receiver = MakeEnvelope("10.0.0.2:1", 6);
    std::vector<std::string> sealed;
    for (std::uint64_t i = 0; i < 500; ++i) {
      sealed.push_back(*sender.Seal("10.0.0.2:1", SampleMessage(i)));
    }
    random.Shuffle(sealed);
    for (const std::string& bytes : sealed) {
      CHECK_TRUE(receiver.Open(bytes).has_value());
    }
    random.Shuffle(sealed);
    for (const std::string& bytes : sealed) {
      const auto opened = receiver.Open(bytes);
      CHECK_TRUE(!opened && opened.error().code == ErrorCode::kMessageReplayed);
    }
  }
}

// Guards against a large message that is refused as a replay because the node has sent many others
// while it was on its way.
TEST(Envelope, MessagesToOthersDoNotMakeOneOld) {
  Envelope sender = MakeEnvelope("10.0.0.1:1", 5);
  Envelope receiver = MakeEnvelope("10.0.0.2:1", 6);
  const auto large = sender.Seal("10.0.0.2:1", SampleMessage(0));
  for (std::uint64_t i = 1; i <= 3 * ReplayFilter::kWindowSize; ++i) {
    CHECK_TRUE(sender.Seal("10.0.0.3:1", SampleMessage(i)).has_value());
  }
  CHECK_TRUE(receiver.Open(*sender.Seal("10.0.0.2:1", SampleMessage(9))).has_value());
  CHECK_TRUE(receiver.Open(*large).has_value());
  CHECK_FALSE(receiver.Open(*large).has_value());
}

// Guards against a window that loses counters when it advances; a std::set is the reference.
TEST(Envelope, ReplayFilterMatchesReferenceSet) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    utils::Random random(seed);
    ReplayFilter filter(8);
    std::set<std::uint64_t> seen;
    std::uint64_t highest = 0;
    for (int i = 0; i < 5'000; ++i) {
      const std::uint64_t step = random.Bernoulli(0.01) ? 5'000 : 8;
      const std::uint64_t base = highest > 3'000 ? highest - 3'000 : 1;
      const std::uint64_t counter =
          random.Bernoulli(0.5) ? highest + 1 + random.Uniform(step) : base + random.Uniform(3'000);
      highest = std::max(highest, counter);
      const bool expected =
          counter + ReplayFilter::kWindowSize > highest && seen.insert(counter).second;
      CHECK_TRUE(filter.Accept("10.0.0.1:1", 5, counter) == expected);
    }
  }
}

// Guards against memory that grows with the number of senders and against forgetting active ones.
TEST(Envelope, ReplayFilterKeepsRecentSenders) {
  ReplayFilter filter(100);
  CHECK_TRUE(filter.Accept("live", 1, 1));
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    CHECK_TRUE(filter.Accept("sender", i, 1));
    CHECK_FALSE(filter.Accept("live", 1, 1));
  }
}

// Guards against crashes on malformed bytes from an authenticated node of another release.
TEST(Envelope, MalformedAuthenticPayloadReturnsErrorCode) {
  utils::Random random(1);
  for (int i = 0; i < 3'000; ++i) {
    EncodedMessage encoded = EncodeMessage(SampleMessage(i));
    for (int change = 0; change < 2; ++change) {
      encoded.payload[random.Uniform(encoded.payload.size())] = static_cast<char>(random.Next());
    }
    const auto decoded =
        DecodeMessage(static_cast<ModuleNumber>(random.Uniform(4)), encoded.payload);
    CHECK_TRUE(decoded || decoded.error().code != ErrorCode::kOk);
  }
  const std::string nested(100'000, '\x81');
  CHECK_TRUE(DecodeMessage(0, nested).error().code == ErrorCode::kMessageMalformed);
}

}  // namespace amaranthlatch::node
