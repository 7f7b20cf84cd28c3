// Implementation of the periodic digest exchange.

#include "anti_entropy.h"

#include <algorithm>
#include <vector>

namespace amaranthlatch::distribution::details {

namespace {

constexpr std::size_t kMaxDraws = 8;
// Remote digests go to the first reader candidate of a region or to a random one of this many, so
// that a failed first candidate does not disconnect the regions.
constexpr std::size_t kMaxRemoteReaders = 3;

}  // namespace

AntiEntropy::AntiEntropy(const Options& options, Topology& topology, PeerLinks& links,
                         EntryExchange& exchange, utils::Random& random)
    : options(options), topology(topology), links(links), exchange(exchange), random(random) {}

utils::Duration AntiEntropy::WithJitter(utils::Duration interval) {
  return interval * 3 / 4 + this->random.Jitter(interval / 2);
}

std::optional<membership::NodeId> AntiEntropy::ChooseReachable(const Context& context,
                                                               const NodeIds& ids) {
  if (ids.empty()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < kMaxDraws; ++i) {
    const membership::NodeId& id = ids[this->random.Uniform(ids.size())];
    if (id != this->topology.Self() && this->links.IsReachable(id, context.now)) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<membership::NodeId> AntiEntropy::RandomZonePeer(const Context& context) {
  return this->ChooseReachable(context, this->topology.ZonePeers());
}

std::optional<membership::NodeId> AntiEntropy::RandomRemoteReader(const Context& context,
                                                                  bool log_region) {
  std::vector<std::string> regions = this->topology.Regions();
  std::erase(regions, this->topology.Region());
  if (regions.empty()) {
    return std::nullopt;
  }
  const bool known =
      std::find(regions.begin(), regions.end(), this->options.log_region) != regions.end();
  const std::string& region = log_region && known ? this->options.log_region
                                                  : regions[this->random.Uniform(regions.size())];
  NodeIds readers = this->topology.ReaderCandidates(region);
  readers.resize(std::min(readers.size(), kMaxRemoteReaders));
  if (!readers.empty() && this->random.Bernoulli(0.5) &&
      this->links.IsReachable(readers.front(), context.now)) {
    return readers.front();
  }
  return this->ChooseReachable(context, readers);
}

std::optional<membership::NodeId> AntiEntropy::RandomReader(const Context& context) {
  if (this->random.Bernoulli(0.5)) {
    auto remote = this->RandomRemoteReader(context, this->random.Bernoulli(0.5));
    if (remote) {
      return remote;
    }
  }
  return this->ChooseReachable(context, this->topology.ReaderCandidates(this->topology.Region()));
}

void AntiEntropy::Run(const Context& context, bool reader, bool log_reachable) {
  if (!this->next_digest) {
    this->next_digest = context.now + this->random.Jitter(this->options.anti_entropy);
    this->next_region_sync = context.now + this->random.Jitter(this->options.region_sync);
  }
  if (*this->next_digest <= context.now) {
    this->next_digest = context.now + this->WithJitter(this->options.anti_entropy);
    if (const auto peer = this->RandomZonePeer(context)) {
      this->exchange.SendDigest(context, *peer);
    }
  }
  if (*this->next_region_sync <= context.now) {
    this->next_region_sync = context.now + this->WithJitter(this->options.region_sync);
    // Without access to the log, half of the digests go to the region that hosts it.
    const bool prefer_log_region = !log_reachable && this->random.Bernoulli(0.5);
    const auto peer = reader ? this->RandomRemoteReader(context, prefer_log_region) : std::nullopt;
    if (peer) {
      this->exchange.SendDigest(context, *peer);
    }
  }
}

std::optional<utils::Timestamp> AntiEntropy::NextWake() const {
  return this->next_digest ? std::optional(std::min(*this->next_digest, *this->next_region_sync))
                           : std::nullopt;
}

}  // namespace amaranthlatch::distribution::details
