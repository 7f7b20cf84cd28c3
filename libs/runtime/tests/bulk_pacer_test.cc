// Tests of the pace, order and window of fragments, on a simulated link.

#include "transport/bulk_pacer.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "transport/bulk_window.h"

namespace amaranthlatch::runtime::details {

namespace {

using document::Priority;
using utils::Duration;
using utils::Milliseconds;
using utils::Timestamp;

// A link of 11 Mbit/s.
constexpr double kRate = 11e6 / 8;
constexpr std::size_t kBody = 90'000;

Duration TimeOf(double bytes, double rate) {
  return Duration(static_cast<std::int64_t>(bytes / rate * 1e6));
}

// Sends in the order of arrival, as a kernel's queue before a link does.
struct SimulatedLink {
  Duration Put(std::size_t bytes, Timestamp now) {
    this->free_at = std::max(this->free_at, now) + TimeOf(static_cast<double>(bytes), this->rate);
    return this->free_at - now;
  }
  double rate = kRate;
  Timestamp free_at{};
};

struct Result {
  Duration longest_small{};
  double bulk_share = 0.0;
};

// Ten seconds of bodies to four peers, at a share of the link, beside 200 small messages a second.
Result Play(double bulk_load, bool paced) {
  BulkPacer pacer({kRate, 1ULL << 40U, 1'000'000});
  SimulatedLink link;
  Result result;
  const std::vector<std::string> peers = {"a", "b", "c", "d"};
  for (const std::string& peer : peers) {
    pacer.SetReady(peer, true);
  }
  const Duration body_interval = TimeOf(kBody / bulk_load, kRate);
  Timestamp body_at{};
  std::uint64_t number = 0;
  std::size_t sent = 0;
  for (Timestamp now{}; now < Timestamp(utils::Seconds(10)); now += Milliseconds(1)) {
    for (; body_at <= now; body_at += body_interval) {
      if (paced) {
        ++number;
        pacer.Add(peers[number % peers.size()], number, Priority::kNormal, kBody);
      } else {
        link.Put(kBody, now);
      }
    }
    while (const auto piece = pacer.Next(now)) {
      pacer.Sent(*piece, now);
      link.Put(piece->length, now);
      sent += piece->length;
    }
    if (utils::ToMilliseconds(now.time_since_epoch()) % 5 == 0) {
      result.longest_small = std::max(result.longest_small, link.Put(400, now));
      pacer.Charge(400, now);
    }
  }
  result.bulk_share = static_cast<double>(sent) / (10 * kRate);
  return result;
}

// The peers of the fragments in the order in which they are sent.
std::string Order(BulkPacer& pacer) {
  std::string order;
  Timestamp now{};
  while (const auto next = pacer.NextTime()) {
    now = std::max(now, *next);
    const auto piece = pacer.Next(now);
    pacer.Sent(*piece, now);
    order += piece->peer;
  }
  return order;
}

}  // namespace

TEST_GROUP(BulkPacer){};

// Guards against nested calls that wait behind bodies, up to the load at which goodput fell to 0.08
// and above it, and against a pace that leaves the link idle.
TEST(BulkPacer, SmallMessagesDoNotWaitBehindBodies) {
  CHECK_TRUE(Play(1.3, false).longest_small > utils::Seconds(2));
  for (const double load : {0.9, 1.3}) {
    const Result result = Play(load, true);
    CHECK_TRUE(result.longest_small < Milliseconds(25));
    // With the small messages, 0.9 of the link.
    DOUBLES_EQUAL(0.9 - 200 * 400 / kRate, result.bulk_share, 0.01);
  }
  DOUBLES_EQUAL(0.5, Play(0.5, true).bulk_share, 0.01);
}

// Guards against a peer with many bodies that holds up the one body of another, and against urgent
// bodies that wait behind others of their peer.
TEST(BulkPacer, SharesAmongPeersAndPrefersUrgentClasses) {
  BulkPacer pacer({kRate, 1'000'000});
  pacer.SetReady("a", true);
  pacer.SetReady("b", true);
  for (std::uint64_t number = 1; number <= 3; ++number) {
    CHECK_TRUE(pacer.Add("a", number, Priority::kNormal, std::size_t{3} * 8192));
  }
  CHECK_TRUE(pacer.Add("b", 4, Priority::kNormal, std::size_t{2} * 8192));
  CHECK_TRUE(pacer.Add("b", 5, Priority::kInternal, 8192));
  CHECK_TRUE(pacer.Add("b", 6, Priority::kBatch, 8192));
  STRCMP_EQUAL("bababaaaaaaab", Order(pacer).c_str());
  // An idle peer has saved nothing up, and one that takes nothing holds up nobody.
  CHECK_TRUE(pacer.Add("a", 7, Priority::kNormal, std::size_t{6} * 8192));
  CHECK_TRUE(pacer.Add("b", 8, Priority::kNormal, std::size_t{6} * 8192));
  pacer.SetReady("a", false);
  STRCMP_EQUAL("bbbbbb", Order(pacer).c_str());
  CHECK_TRUE(pacer.Add("b", 9, Priority::kNormal, std::size_t{6} * 8192));
  pacer.SetReady("a", true);
  STRCMP_EQUAL("aabababababb", Order(pacer).c_str());
}

// Guards against bodies that never leave because small messages take the whole link.
TEST(BulkPacer, BulkKeepsALeastShare) {
  BulkPacer pacer({kRate, 100'000'000});
  pacer.SetReady("a", true);
  pacer.Add("a", 1, Priority::kNormal, 10'000'000);
  std::size_t sent = 0;
  for (Timestamp now{}; now < Timestamp(utils::Seconds(10)); now += Milliseconds(1)) {
    pacer.Charge(2000, now);
    while (const auto piece = pacer.Next(now)) {
      pacer.Sent(*piece, now);
      sent += piece->length;
    }
  }
  DOUBLES_EQUAL(0.1, static_cast<double>(sent) / (10 * kRate), 0.02);
}

// Guards against memory without bound, and against a peer that takes nothing and fills it.
TEST(BulkPacer, BoundsWhatWaits) {
  BulkPacer pacer({kRate, 100'000});
  CHECK_TRUE(pacer.Add("a", 1, Priority::kNormal, 30'000));
  CHECK_FALSE(pacer.Add("a", 2, Priority::kNormal, 30'000));
  CHECK_TRUE(pacer.Add("b", 3, Priority::kNormal, 60'000));
  CHECK_FALSE(pacer.Add("c", 4, Priority::kNormal, 20'000));
  CHECK_TRUE(pacer.RemovePeer("b") == std::vector<BulkPacer::Number>{3});
  pacer.Remove("a", 1);
  LONGS_EQUAL(0, pacer.WaitingBytes());
  LONGS_EQUAL(0, pacer.WaitingMessages());
  // The largest answer that a node takes is above the limit of a small machine.
  CHECK_TRUE(pacer.Add("a", 5, Priority::kNormal, 1'000'000));
  CHECK_FALSE(pacer.Add("b", 6, Priority::kNormal, 1'000));
}

// Guards against a fast node that fills the queue before a slow peer with bodies, so that probes
// behind them get no answer in time, and against a window that keeps a far peer below its link.
TEST(BulkPacer, WindowFollowsThePeer) {
  struct Case {
    double own_rate;
    double peer_rate;
    // From the middle on, because other nodes send to the peer too.
    double later_rate;
    Duration way;
    Duration longest;
  };
  for (const Case& each : {Case{25e6, 1.25e6, 1.25e6, Milliseconds(1), Milliseconds(160)},
                           Case{25e6, 10e6, 1.25e6, Milliseconds(1), Milliseconds(200)},
                           Case{1.25e6, 1.25e6, 1.25e6, Milliseconds(60), Milliseconds(250)},
                           Case{25e6, 25e6, 25e6, Milliseconds(60), Milliseconds(230)}}) {
    BulkWindow window(each.own_rate);
    SimulatedLink peer{each.peer_rate};
    struct Marker {
      std::uint64_t position;
      Timestamp sent_at, answered_at;
    };
    std::vector<Marker> markers;
    Duration longest{};
    std::size_t received = 0;
    for (Timestamp now{}; now < Timestamp(utils::Seconds(20)); now += Milliseconds(1)) {
      while (!markers.empty() && markers.front().answered_at <= now) {
        const Marker marker = markers.front();
        markers.erase(markers.begin());
        window.OnAnswered(marker.position, marker.sent_at, now);
        if (now > Timestamp(utils::Seconds(15))) {
          longest = std::max(longest, now - marker.sent_at);
        }
      }
      if (now == Timestamp(utils::Seconds(10))) {
        peer.rate = each.later_rate;
      }
      for (double credit = each.own_rate / 1000; credit > 0 && window.IsOpen(); credit -= 8192) {
        window.OnSent(8192);
        received += 8192;
        const Duration wait = peer.Put(8192, now);
        if (window.MarkerDue()) {
          window.OnMarkerSent();
          markers.push_back({window.Position(), now, now + wait + 2 * each.way});
        }
      }
    }
    CHECK_TRUE(longest < each.longest);
    CHECK_TRUE(static_cast<double>(received) / 10 >= 0.9 * (each.peer_rate + each.later_rate));
  }
}

}  // namespace amaranthlatch::runtime::details
