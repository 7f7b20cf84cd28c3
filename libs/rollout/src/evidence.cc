// Statistics of the comparison.

#include "evidence.h"

#include <algorithm>
#include <cmath>

namespace amaranthlatch::rollout::details {

namespace {

using utils::Duration;

constexpr double kFirstBucketEnd = 100.0;  // Microseconds.
constexpr double kBucketsPerOctave = 4.0;

// Failures: more than twice the old version's rate would give.
constexpr double kFailureRateFactor = 2.0;
constexpr double kMinFailureRate = 0.02;
// Where the old version has answered much fewer calls than the new one at the same time, because
// its gates have withdrawn, a fault of both versions cannot be told from one of the new version:
// only a failure rate above this and a larger factor of the latency count.
constexpr double kUnmatchedShare = 0.1;
constexpr double kUnmatchedFailureRate = 0.1;
constexpr std::size_t kUnmatchedShift = 1;  // Buckets: a factor of 1.2.

// Latency: a version whose server is slower than all others by less than the factor exceeds the old
// quantile times the factor less often than the quantile says, whatever the distribution. Servers
// differ by a factor of 3. The upper quartile shows a version of which half of the answers are
// slow.
constexpr double kLatencyFactor = 3.5;
constexpr double kQuartile = 0.75;

// Weight of the old version's totals on the route in the estimate of one slice, in answers.
constexpr double kPriorAnswers = 10.0;
// Answers of the old version on a route below which its latencies are not compared.
constexpr std::uint64_t kMinOldTimed = 10;

// Routes on which the new version would have answered at least this many calls if it had served
// from the start need at least this share of what was expected since it served, and so many.
constexpr double kMinExpected = 10.0;
constexpr double kExpectedShare = 1.0 / 3.0;
constexpr double kMinRequired = 5.0;
// A route is not cleared while its failures fit a version that fails this share of the answers
// which the old version would not.
constexpr double kBadShare = 0.5;
constexpr double kClearedSignificance = 0.05;
// Answers on all routes together: of fewer, half failing or slow would not look suspicious. Close
// to the deadline fewer are enough.
constexpr std::uint64_t kMinAnswers = 10;
constexpr std::uint64_t kMinAnswersLate = 6;

// Routes that are compared by themselves; further ones are pooled under the empty name.
constexpr std::size_t kMaxRoutes = 64;

using Weights = std::array<double, kLatencyBuckets>;

// Quantile of a histogram in microseconds, interpolated within its bucket; 0 if it is empty.
template <typename Histogram>
double Quantile(const Histogram& histogram, double quantile) {
  double total = 0.0;
  for (const auto weight : histogram) {
    total += static_cast<double>(weight);
  }
  double left = total * quantile;
  for (std::size_t i = 0; i < histogram.size(); ++i) {
    const auto weight = static_cast<double>(histogram[i]);
    if (weight > 0.0 && weight >= left) {
      const double start = BucketStart(i);
      return start + (BucketStart(i + 1) - start) * (left / weight);
    }
    left -= weight;
  }
  return 0.0;
}

Duration ToDuration(double microseconds) {
  return Duration(static_cast<Duration::rep>(microseconds));
}

std::uint64_t CountAbove(const Sample& sample, double threshold) {
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    count += BucketStart(i) >= threshold ? sample.latencies[i] : 0;
  }
  return count;
}

}  // namespace

std::size_t BucketOf(Duration latency) {
  const auto microseconds = static_cast<double>(latency.count());
  if (microseconds < kFirstBucketEnd) {
    return 0;
  }
  const double octaves = std::log2(microseconds / kFirstBucketEnd);
  return std::min(1 + static_cast<std::size_t>(octaves * kBucketsPerOctave), kLatencyBuckets - 1);
}

double BucketStart(std::size_t bucket) {
  return bucket == 0
             ? 0.0
             : kFirstBucketEnd * std::exp2(static_cast<double>(bucket - 1) / kBucketsPerOctave);
}

double BinomialTail(std::uint64_t n, std::uint64_t k, double p) {
  const auto trials = static_cast<double>(n);
  const auto hits = static_cast<double>(k);
  if (hits <= trials * p) {
    return 1.0;
  }
  if (k > n || p <= 0.0) {
    return 0.0;
  }
  // Beyond the mean each term is smaller than the one before.
  constexpr double kNegligible = 1e-9;
  double term =
      std::exp(std::lgamma(trials + 1) - std::lgamma(hits + 1) - std::lgamma(trials - hits + 1) +
               hits * std::log(p) + (trials - hits) * std::log1p(-p));
  double sum = 0.0;
  for (double i = hits; i <= trials && term > sum * kNegligible; i += 1.0) {
    sum += term;
    term *= (trials - i) / (i + 1) * p / (1 - p);
  }
  return sum;
}

void Sample::Add(const RouteCounters& delta) {
  this->answers += delta.answers;
  this->failures += delta.failures;
  for (const LatencyCount& latency : delta.latencies) {
    const std::size_t bucket = std::min<std::size_t>(latency.bucket, kLatencyBuckets - 1);
    this->latencies[bucket] += static_cast<std::uint32_t>(latency.count);
    this->timed += latency.count;
  }
}

void Evidence::Comparison::Add(const Comparison& other) {
  this->answers += other.answers;
  this->failures += other.failures;
  this->expected_failures += other.expected_failures;
  this->allowed_failures += other.allowed_failures;
  this->timed += other.timed;
  this->above_median += other.above_median;
  this->above_quartile += other.above_quartile;
  this->old_answers += other.old_answers;
  this->old_failures += other.old_failures;
}

void Evidence::Add(bool is_new, std::size_t slice, const RouteCounters& delta) {
  auto found = this->routes.find(delta.route);
  if (found == this->routes.end()) {
    const std::string name = this->routes.size() < kMaxRoutes ? delta.route : std::string();
    found = this->routes.try_emplace(name).first;
  }
  Route& route = found->second;
  if (route.slices.size() <= slice) {
    route.slices.resize(slice + 1);
  }
  if (is_new) {
    route.slices[slice].new_version.Add(delta);
    route.new_version.Add(delta);
  } else {
    route.slices[slice].old_version.Add(delta);
    route.old_version.Add(delta);
    this->old_answers += delta.answers;
    this->old_failures += delta.failures;
  }
}

Evidence::Comparison Evidence::Compare(const Route& route, std::size_t first) const {
  Comparison result;
  const Sample& prior = route.old_version;
  // A route that the old version was never asked for is compared with all its answers.
  const bool is_known = prior.answers > 0;
  const auto prior_answers = static_cast<double>(is_known ? prior.answers : this->old_answers);
  const auto prior_failures = static_cast<double>(is_known ? prior.failures : this->old_failures);
  const double prior_rate = prior_answers > 0.0 ? prior_failures / prior_answers : 0.0;
  const bool compares_latency = prior.timed >= kMinOldTimed;
  // What the new version's latencies would be at the old version's speed.
  Weights expected{};
  Weights observed{};
  for (std::size_t i = first; i < route.slices.size(); ++i) {
    const Sample& old_version = route.slices[i].old_version;
    const Sample& new_version = route.slices[i].new_version;
    result.old_answers += old_version.answers;
    result.old_failures += old_version.failures;
    if (new_version.answers == 0) {
      continue;
    }
    const auto answers = static_cast<double>(new_version.answers);
    const auto old_answers_here = static_cast<double>(old_version.answers);
    const bool is_matched = is_known && old_answers_here >= kUnmatchedShare * answers;
    const double rate = (static_cast<double>(old_version.failures) + kPriorAnswers * prior_rate) /
                        (old_answers_here + kPriorAnswers);
    const double floor = is_matched ? kMinFailureRate : kUnmatchedFailureRate;
    result.answers += new_version.answers;
    result.failures += new_version.failures;
    result.expected_failures += answers * rate;
    result.allowed_failures += answers * std::clamp(kFailureRateFactor * rate, floor, 1.0);
    if (!compares_latency || new_version.timed == 0) {
      continue;
    }
    result.timed += new_version.timed;
    const double prior_weight = kPriorAnswers / static_cast<double>(prior.timed);
    const double scale = static_cast<double>(new_version.timed) /
                         (static_cast<double>(old_version.timed) + kPriorAnswers);
    const std::size_t shift = is_matched ? 0 : kUnmatchedShift;
    for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
      const double weight = static_cast<double>(old_version.latencies[bucket]) +
                            prior_weight * static_cast<double>(prior.latencies[bucket]);
      expected[std::min(bucket + shift, kLatencyBuckets - 1)] += scale * weight;
      observed[bucket] += static_cast<double>(new_version.latencies[bucket]);
    }
  }
  if (result.timed == 0) {
    return result;
  }
  result.median = Quantile(observed, 0.5);
  result.old_median = Quantile(expected, 0.5);
  const double median_limit = kLatencyFactor * result.old_median;
  const double quartile_limit = kLatencyFactor * Quantile(expected, kQuartile);
  for (std::size_t i = first; i < route.slices.size(); ++i) {
    const Sample& new_version = route.slices[i].new_version;
    if (new_version.timed > 0) {
      result.above_median += CountAbove(new_version, median_limit);
      result.above_quartile += CountAbove(new_version, quartile_limit);
    }
  }
  return result;
}

Reason Evidence::Judge(const Comparison& comparison, const Criteria& criteria) {
  if (comparison.failures >= criteria.min_failures) {
    // The tail for unequal probabilities is at most that for their mean (Hoeffding 1956).
    const double rate = comparison.allowed_failures / static_cast<double>(comparison.answers);
    if (BinomialTail(comparison.answers, comparison.failures, rate) <
        criteria.failure_significance) {
      return Reason::kFailures;
    }
  }
  if (comparison.timed >= criteria.min_timed &&
      (BinomialTail(comparison.timed, comparison.above_median, 0.5) <
           criteria.latency_significance ||
       BinomialTail(comparison.timed, comparison.above_quartile, 1 - kQuartile) <
           criteria.latency_significance)) {
    return Reason::kLatency;
  }
  return Reason::kNone;
}

Finding Evidence::ToFinding(Reason reason, const std::string& name, const Comparison& comparison) {
  return {reason,
          name,
          comparison.answers,
          comparison.failures,
          comparison.old_answers,
          comparison.old_failures,
          ToDuration(comparison.median),
          ToDuration(comparison.old_median)};
}

std::optional<Finding> Evidence::FindFault(std::size_t recent) const {
  return this->Find(recent, kFault);
}

bool Evidence::IsSuspicious(std::size_t recent) const {
  return this->Find(recent, kSuspicion).has_value();
}

std::optional<Finding> Evidence::Find(std::size_t recent, const Criteria& criteria) const {
  for (const std::size_t first : {std::size_t{0}, recent}) {
    Comparison all;
    for (const auto& [name, route] : this->routes) {
      if (route.new_version.answers == 0 || first >= route.slices.size()) {
        continue;
      }
      const Comparison comparison = this->Compare(route, first);
      const Reason reason = Judge(comparison, criteria);
      if (reason != Reason::kNone) {
        return ToFinding(reason, name, comparison);
      }
      all.Add(comparison);
    }
    // Many routes with few calls each show a bad version only together.
    const Reason reason = Judge(all, criteria);
    if (reason != Reason::kNone) {
      return ToFinding(reason, {}, all);
    }
  }
  return std::nullopt;
}

bool Evidence::IsCleared(const Comparison& comparison) {
  if (comparison.answers == 0) {
    return false;
  }
  const double old_rate = comparison.expected_failures / static_cast<double>(comparison.answers);
  const double bad_rate = old_rate + kBadShare * (1.0 - old_rate);
  // Few answers cannot tell a bad version from one of a service that fails that often anyway.
  return old_rate >= kBadShare ||
         BinomialTail(comparison.answers, comparison.answers - comparison.failures,
                      1.0 - bad_rate) < kClearedSignificance;
}

std::size_t Evidence::FirstSliceOfNewVersion() const {
  std::size_t first = SIZE_MAX;
  for (const auto& [name, route] : this->routes) {
    const auto has_new = [](const Slice& slice) { return slice.new_version.answers > 0; };
    const auto found = std::find_if(route.slices.begin(), route.slices.end(), has_new);
    if (found != route.slices.end()) {
      first = std::min(first, static_cast<std::size_t>(found - route.slices.begin()));
    }
  }
  return first;
}

bool Evidence::IsSufficient(bool is_late) const {
  const std::size_t first = this->FirstSliceOfNewVersion();
  Comparison all;
  for (const auto& [name, route] : this->routes) {
    const Comparison comparison = this->Compare(route, 0);
    double old_answers_since = 0.0;
    for (std::size_t i = first; i < route.slices.size(); ++i) {
      old_answers_since += static_cast<double>(route.slices[i].old_version.answers);
    }
    const double expected = this->canary_share * old_answers_since;
    const double required = std::max(kMinRequired, expected * kExpectedShare);
    const bool is_frequent =
        this->canary_share * static_cast<double>(route.old_version.answers) >= kMinExpected;
    if (is_frequent && (static_cast<double>(comparison.answers) < required ||
                        (!is_late && !IsCleared(comparison)))) {
      return false;
    }
    all.Add(comparison);
  }
  return all.answers >= (is_late ? kMinAnswersLate : kMinAnswers) && IsCleared(all);
}

Finding Evidence::Totals() const {
  Comparison all;
  for (const auto& [name, route] : this->routes) {
    all.answers += route.new_version.answers;
    all.failures += route.new_version.failures;
  }
  all.old_answers = this->old_answers;
  all.old_failures = this->old_failures;
  return ToFinding(Reason::kNone, {}, all);
}

}  // namespace amaranthlatch::rollout::details
