#include "poison/crash_attribution.h"

#include <algorithm>
#include <cmath>

#include "base/random_source.h"
#include "fleet/endpoint_report.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxRecords = 1'024;
constexpr size_t kMaxSnapshotRecords = 256;
// Later, the endpoint has reported.
constexpr duration kEndedLifetime = kStaleReportWindow;
// Between two messages that a start has ended.
constexpr milliseconds kEndedInterval{5'000};
constexpr std::chrono::minutes kRecordLifetime{10};
constexpr size_t kMaxAnsweredParts = 8'192;
constexpr size_t kMaxVerdicts = 64;
constexpr milliseconds kDecisionInterval{20};
// Without news of crashes and answers.
constexpr milliseconds kUndecidedInterval{100};
// Endpoints that end within this time end together.
constexpr milliseconds kSameMoment{5};
// After the second crash of a key; doubled with each further one.
constexpr milliseconds kRepeatDelay{1'000};
constexpr size_t kMinRepeatCrashes = 2;
// The same for a request, and at most. Each host adds up to as much again, so
// that one of them tries first: endpoints that are back at the same time would
// all get it.
constexpr milliseconds kRequestDelay{5'000};
constexpr milliseconds kMaxRequestDelay{60'000};
constexpr size_t kMaxRepeatDoublings = 9;
constexpr size_t kMinCrashes = 3;
// In whose crashes a part is, before it is taken for their cause.
constexpr size_t kMinRequestsOfPart = 2;
// A request is blocked for this long after its third crash, and for twice as
// long after each further one: a sound one is answered when it is tried again.
constexpr std::chrono::minutes kFirstRequestBlock{1};

// What it takes for a verdict.
struct verdict_rule {
  size_t min_crashes;
  size_t enough_crashes;  // Whatever the chance.
  double max_chance;
  // From the first crash: by then a whole answer to a popular key has been
  // received and passed on.
  milliseconds settle_time;
};
// Thousands of parts are asked for while endpoints fail for other reasons.
constexpr verdict_rule kPartRule{kMinCrashes, SIZE_MAX, 5e-7,
                                 milliseconds{500}};
constexpr verdict_rule kAnsweredPartRule{6, SIZE_MAX, 5e-7,
                                         milliseconds{1'500}};
// Few requests are sent again after they have broken.
constexpr verdict_rule kRequestRule{kMinCrashes, 6, 1e-3, milliseconds{500}};
// Endpoints that end together under a key. A key is rarely at so many of them,
// and never answered yet.
constexpr size_t kMinGroup = 4;
constexpr double kMaxGroupChance = 1e-2;
// Attempts with the key at other endpoints have sustained output by then.
constexpr milliseconds kGroupSettleTime{2'000};
// Others that end so much earlier or later may have the same cause.
constexpr milliseconds kGroupMargin{1'000};
// While a part is blocked, no answer can show that the verdict was wrong.
constexpr std::chrono::minutes kGroupBlock{2};
// A blocked part is tried this long after its last crash and its last trial.
constexpr milliseconds kTrialDelay{5'000};
// Limits on trials, so that a guilty part crashes few endpoints by them:
// crashes in all, and trials of one host.
constexpr size_t kMaxTrialCrashes = 7;
constexpr size_t kMaxTrials = 3;

// Of these attempts, one is taken to have broken before the counted ones.
constexpr double kAssumedAttempts = 100;
constexpr milliseconds kCountHalfLife{10'000};
// Whole answers of the service, to this host, since a part's first crash.
constexpr uint64_t kMinOtherAnswers = 3;
// Between two messages that a service answers.
constexpr milliseconds kAnsweringInterval{1'000};
// A part that was answered before its first crash is suspected less.
constexpr double kAnsweredWeight = 0.5;

uint32_t AgeMs(steady_time now, steady_time then) {
  const auto age = std::chrono::duration_cast<milliseconds>(now - then).count();
  return static_cast<uint32_t>(std::max<int64_t>(age, 0));
}

std::vector<crash_key> KeysOf(std::span<const prompt_part> parts,
                              request_digest digest) {
  std::vector<crash_key> keys;
  keys.reserve(parts.size() + 1);
  for (const prompt_part part : parts) {
    keys.push_back({part, crash_key::kind::kPart});
  }
  if (digest != 0) {
    keys.push_back({digest, crash_key::kind::kRequest});
  }
  return keys;
}

std::vector<crash_key> KeysOf(const request_traits& traits) {
  return KeysOf(traits.parts, traits.digest);
}

bool Contains(std::span<const crash_key> keys, const crash_key& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

bool IsRequest(const crash_key& key) {
  return key.what == crash_key::kind::kRequest;
}

duration BlockTime(const crash_key& key, size_t crashes) {
  if (!IsRequest(key)) {
    return kRecordLifetime;
  }
  const size_t doublings =
      std::min(crashes - std::min(crashes, kMinCrashes), kMaxRepeatDoublings);
  return std::min<duration>(kFirstRequestBlock * (1u << doublings),
                            kRecordLifetime);
}

// The weight of an attempt that ended this long ago.
double DecayFactor(duration age) {
  const std::chrono::duration<double> seconds = age;
  const std::chrono::duration<double> half_life = kCountHalfLife;
  return std::exp2(-std::max(seconds / half_life, 0.0));
}

}  // namespace

size_t crash_attribution::suspicion::CountCrashes() const {
  if (crashes.size() < 2) {
    return crashes.size();
  }
  if (!is_request) {
    return Groups().size();
  }
  std::vector<endpoint_crash> in_order;
  for (const auto& [start_key, crash] : crashes) {
    in_order.push_back(crash);
  }
  std::sort(in_order.begin(), in_order.end(),
            [](const endpoint_crash& a, const endpoint_crash& b) {
              return a.broken_at < b.broken_at;
            });
  size_t count = 0;
  steady_time last{};
  for (const endpoint_crash& each : in_order) {
    if (count == 0 || each.begun_at >= last ||
        each.broken_at >= last + kSameMoment) {
      ++count;
      last = each.broken_at;
    }
  }
  return count;
}

bool crash_attribution::suspicion::IsOfGroupsOnly() const {
  return CountCrashes() < kMinCrashes && crashes.size() >= kMinGroup;
}

std::vector<crash_group> crash_attribution::suspicion::Groups() const {
  std::vector<endpoint_crash> all;
  for (const auto& [start_key, crash] : crashes) {
    all.push_back(crash);
  }
  return crash_group::Split(std::move(all));
}

steady_time crash_attribution::suspicion::FirstCrash() const {
  steady_time first = steady_time::max();
  for (const auto& [endpoint, crash] : crashes) {
    first = std::min(first, crash.broken_at);
  }
  return first;
}

steady_time crash_attribution::suspicion::LastCrash() const {
  steady_time last{};
  for (const auto& [endpoint, crash] : crashes) {
    last = std::max(last, crash.broken_at);
  }
  return last;
}

crash_attribution::service_counts& crash_attribution::DecayedCounts(
    steady_time now,
    const service_id& service) {
  service_counts& counts = services_[service];
  const double factor = DecayFactor(now - counts.counted_at);
  counts.ended *= factor;
  counts.broken *= factor;
  counts.counted_at = now;
  return counts;
}

void crash_attribution::AddEndpoint(const service_id& service,
                                    const domain_id& domain) {
  ++endpoints_[service][domain].all;
}

void crash_attribution::RemoveEndpoint(const service_id& service,
                                       const domain_id& domain) {
  const auto known = endpoints_.find(service);
  if (known == endpoints_.end() || !known->second.contains(domain)) {
    return;
  }
  size_t& count = known->second[domain].all;
  count -= std::min<size_t>(count, 1);
}

void crash_attribution::RecordBreak(steady_time now,
                                    const service_id& service) {
  service_counts& counts = DecayedCounts(now, service);
  counts.ended += 1;
  counts.broken += 1;
}

void crash_attribution::RecordWholeAnswer(steady_time now,
                                          const service_id& service,
                                          const request_traits& traits) {
  service_counts& counts = DecayedCounts(now, service);
  counts.ended += 1;
  counts.whole_answers += 1;
  counts.answered_at = now;
  AddOwnAnswer(traits, now);
}

void crash_attribution::RecordSustainedOutput(steady_time begun_at,
                                              const request_traits& traits) {
  AddOwnAnswer(traits, begun_at);
}

void crash_attribution::AddOwnAnswer(const request_traits& traits,
                                     steady_time answered_at) {
  for (const crash_key& key : KeysOf(traits)) {
    if (!keys_.contains(key)) {
      RememberAnswer(key, answered_at);
    } else if (AddAnswer(key, answered_at)) {
      answer_news_.insert(key);
    }
  }
}

bool crash_attribution::AddAnswer(const crash_key& key,
                                  steady_time answered_at) {
  const auto found = keys_.find(key);
  if (found == keys_.end()) {
    return false;
  }
  key_state& state = found->second;
  if (state.was_answered && answered_at <= state.answered_at) {
    return false;
  }
  const bool is_news = !state.was_answered || ExcusesCrash(key, answered_at);
  state.was_answered = true;
  state.answered_at = answered_at;
  has_changed_ = has_changed_ || state.is_suspected;
  return is_news;
}

bool crash_attribution::ExcusesCrash(const crash_key& key,
                                     steady_time answered_at) const {
  const key_state& state = keys_.at(key);
  if (state.was_answered && state.answered_at > state.crashed_at) {
    return false;  // All of them are excused.
  }
  return std::any_of(records_.begin(), records_.end(),
                     [&](const known_record& each) {
                       return each.broken_at < answered_at &&
                              Counts(each, key) && Contains(each.keys, key);
                     });
}

void crash_attribution::RememberAnswer(const crash_key& part,
                                       steady_time answered_at) {
  if (IsRequest(part)) {
    return;  // What was answered before its first crash tells nothing.
  }
  const auto [known, is_new] = answered_.try_emplace(part, answered_at);
  known->second = std::max(known->second, answered_at);
  if (is_new) {
    answered_order_.push_back(part);
  }
  if (answered_order_.size() > kMaxAnsweredParts) {
    answered_.erase(answered_order_.front());
    answered_order_.pop_front();
  }
}

void crash_attribution::RecordEnded(steady_time now,
                                    uint64_t start_key,
                                    const service_id& service,
                                    const domain_id& domain) {
  if (AddEnded(start_key, {service, domain, now})) {
    ended_news_.insert(start_key);
  }
}

std::optional<steady_time> crash_attribution::EndedAt(
    uint64_t start_key) const {
  const auto found = ended_.find(start_key);
  return found == ended_.end() ? std::nullopt
                               : std::optional(found->second.seen_at);
}

bool crash_attribution::AddEnded(uint64_t start_key, const ended_start& ended) {
  std::erase_if(ended_, [&ended](const auto& each) {
    return ended.seen_at > each.second.seen_at + kEndedLifetime;
  });
  const auto known = ended_.find(start_key);
  if ((known == ended_.end() && ended_.size() >= kMaxRecords) ||
      (known != ended_.end() &&
       ended.seen_at < known->second.seen_at + kEndedInterval)) {
    return false;
  }
  ended_[start_key] = ended;
  return true;
}

crash_record crash_attribution::EndedRecord(steady_time now,
                                            uint64_t start_key) const {
  const ended_start& ended = ended_.at(start_key);
  crash_record record;
  record.endpoint = start_key;
  record.service = ended.service;
  record.domain = ended.domain;
  record.age_ms = AgeMs(now, ended.seen_at);
  return record;
}

void crash_attribution::RecordCrash(steady_time now,
                                    const crash_record& record) {
  const steady_time broken_at = now - milliseconds(record.age_ms);
  crash_record completed = record;
  const auto counts = services_.find(record.service);
  if (counts != services_.end() && counts->second.whole_answers > 0) {
    completed.answered_before_ms = AgeMs(broken_at, counts->second.answered_at);
  }
  if (Add(completed, broken_at, true)) {
    crash_news_.insert({record.endpoint, record.request});
  }
}

void crash_attribution::Merge(steady_time now,
                              const crash_evidence& evidence,
                              role sender) {
  const bool is_passed_on = role_ == role::kRelay && sender == role::kObserver;
  for (const crash_record& each : evidence.crashes) {
    if (each.parts.empty() && each.digest == 0) {
      const steady_time seen_at = now - milliseconds(each.age_ms);
      if (AddEnded(each.endpoint, {each.service, each.domain, seen_at}) &&
          is_passed_on) {
        ended_news_.insert(each.endpoint);
      }
      continue;
    }
    const bool is_new = Add(each, now - milliseconds(each.age_ms), false);
    if (is_new && is_passed_on) {
      crash_news_.insert({each.endpoint, each.request});
    }
  }
  for (const whole_answer_record& each : evidence.whole_answers) {
    const crash_key key{each.part_or_digest, each.is_request
                                                 ? crash_key::kind::kRequest
                                                 : crash_key::kind::kPart};
    const bool is_news = AddAnswer(key, now - milliseconds(each.age_ms));
    if (is_news && is_passed_on) {
      answer_news_.insert(key);
    }
  }
  for (const service_answer_record& each : evidence.service_answers) {
    steady_time& answering_at = services_[each.service].answering_at;
    const steady_time at = now - milliseconds(each.age_ms);
    if (is_passed_on && at >= answering_at + kAnsweringInterval) {
      service_news_.insert(each.service);
    }
    answering_at = std::max(answering_at, at);
  }
}

bool crash_attribution::Add(const crash_record& record,
                            steady_time broken_at,
                            bool is_own) {
  std::vector<crash_key> keys = KeysOf(record.parts, record.digest);
  if (keys.empty() || record.parts.size() > kMaxSharedParts ||
      !known_.insert({record.endpoint, record.request}).second) {
    return false;
  }
  has_changed_ = true;
  for (const crash_key& key : keys) {
    key_state& state = keys_[key];
    state.crashed_at = std::max(state.crashed_at, broken_at);
    const auto answered = answered_.find(key);
    if (!state.was_answered && answered != answered_.end()) {
      state.was_answered = true;
      state.answered_at = answered->second;
      // Others may not know that it was sound.
      answer_news_.insert(key);
    }
  }
  records_.push_back({record, std::move(keys), broken_at, is_own});
  if (records_.size() > kMaxRecords) {
    EvictRecord();
  }
  return true;
}

bool crash_attribution::ExplainsVerdict(const known_record& known) const {
  return std::any_of(
      known.keys.begin(), known.keys.end(),
      [this](const crash_key& key) { return verdicts_.contains(key); });
}

void crash_attribution::EvictRecord() {
  auto evicted = std::find_if_not(
      records_.begin(), records_.end(),
      [this](const known_record& each) { return ExplainsVerdict(each); });
  if (evicted == records_.end()) {
    evicted = records_.begin();
  }
  known_.erase({evicted->record.endpoint, evicted->record.request});
  records_.erase(evicted);
  ForgetUnusedKeys();
}

void crash_attribution::Expire(steady_time now) {
  const auto is_old = [now](const known_record& each) {
    return now >= each.broken_at + kRecordLifetime;
  };
  if (std::none_of(records_.begin(), records_.end(), is_old)) {
    return;
  }
  for (const known_record& each : records_) {
    if (is_old(each)) {
      known_.erase({each.record.endpoint, each.record.request});
    }
  }
  std::erase_if(records_, is_old);
  ForgetUnusedKeys();
  has_changed_ = true;
}

void crash_attribution::ForgetUnusedKeys() {
  std::set<crash_key> used;
  for (const known_record& each : records_) {
    used.insert(each.keys.begin(), each.keys.end());
  }
  for (auto at = keys_.begin(); at != keys_.end();) {
    if (used.contains(at->first)) {
      ++at;
      continue;
    }
    if (at->second.was_answered) {
      RememberAnswer(at->first, at->second.answered_at);
    }
    at = keys_.erase(at);
  }
}

bool crash_attribution::Counts(const known_record& known,
                               const crash_key& key) const {
  const key_state& state = keys_.at(key);
  const bool is_excused =
      state.was_answered && state.answered_at > known.broken_at;
  return !is_excused && milliseconds(known.record.output_ms) < kOnsetPeriod;
}

size_t crash_attribution::CountEnded(const crash_key& key) const {
  std::set<uint64_t> ended;
  for (const known_record& each : records_) {
    if (Contains(each.keys, key) && Counts(each, key)) {
      ended.insert(each.record.endpoint);
    }
  }
  return ended.size();
}

crash_attribution::suspicions crash_attribution::SuspicionsBeside(
    const verdicts& guilty) const {
  std::set<uint64_t> explained;  // Endpoints.
  for (const known_record& each : records_) {
    for (const crash_key& key : each.keys) {
      if (guilty.contains(key) && Counts(each, key)) {
        explained.insert(each.record.endpoint);
      }
    }
  }
  suspicions all;
  for (const known_record& each : records_) {
    if (explained.contains(each.record.endpoint)) {
      continue;
    }
    for (size_t i = 0; i < each.keys.size(); ++i) {
      const crash_key& key = each.keys[i];
      if (!Counts(each, key)) {
        continue;
      }
      suspicion& suspect = all[key];
      suspect.requests.insert(each.record.request);
      suspect.service = each.record.service;
      suspect.is_request = IsRequest(key);
      suspect.position = std::max(suspect.position, i);
      suspect.was_answered = keys_.at(key).was_answered;
      const steady_time begun_at =
          each.broken_at - milliseconds(each.record.ran_ms);
      const auto [at, is_new] =
          suspect.crashes.try_emplace(each.record.endpoint);
      endpoint_crash& crash = at->second;
      if (is_new) {
        crash = {each.record.endpoint, each.record.domain, each.broken_at,
                 begun_at};
      }
      crash.broken_at = std::min(crash.broken_at, each.broken_at);
      crash.begun_at = std::max(crash.begun_at, begun_at);
    }
  }
  return all;
}

void crash_attribution::UpdateSuspects(const suspicions& all) {
  for (auto& [key, state] : keys_) {
    const auto found = all.find(key);
    const bool is_suspected = found != all.end();
    if (is_suspected && !state.is_suspected) {
      state.answers_before = services_[found->second.service].whole_answers;
    }
    state.is_suspected = is_suspected;
  }
}

void crash_attribution::HoldBack(const crash_key& key,
                                 const suspicion& suspect) {
  const size_t crashes = suspect.CountCrashes();
  if (crashes < kMinRepeatCrashes) {
    return;
  }
  const size_t doublings =
      std::min(crashes - kMinRepeatCrashes, kMaxRepeatDoublings);
  duration delay = kRepeatDelay * (1u << doublings);
  if (IsRequest(key)) {
    delay =
        std::min<duration>(kRequestDelay * (1u << doublings), kMaxRequestDelay);
    random_source random(seed_ ^ key.value);
    delay +=
        std::chrono::duration_cast<milliseconds>(delay * UniformUnit(random));
  }
  held_back_until_[key] = suspect.LastCrash() + delay;
}

double crash_attribution::ChanceOf(steady_time now,
                                   const suspicion& suspect) const {
  return std::pow(BrokenShare(now, suspect),
                  static_cast<double>(suspect.CountCrashes()));
}

double crash_attribution::ChanceOfGroups(steady_time now,
                                         const suspicion& suspect) const {
  const double broken_share = BrokenShare(now, suspect);
  double chance = 1;
  for (const crash_group& group : suspect.Groups()) {
    if (group.size() >= kMinGroup &&
        now >= group.first_at() + kGroupSettleTime) {
      chance *= std::max(
          group.ChanceOfCoincidence(PopulationAt(suspect.service, group)),
          std::pow(broken_share, static_cast<double>(group.size())));
    }
  }
  return chance;
}

endpoint_population crash_attribution::PopulationAt(
    const service_id& service,
    const crash_group& group) const {
  const auto known = endpoints_.find(service);
  if (known == endpoints_.end()) {
    return {};
  }
  std::map<uint64_t, domain_id> ended;
  const auto add = [&](uint64_t start_key, const domain_id& domain,
                       steady_time at) {
    if (at >= group.first_at() - kGroupMargin &&
        at <= group.last_at() + kGroupMargin) {
      ended.emplace(start_key, domain);
    }
  };
  for (const known_record& each : records_) {
    if (each.record.service == service) {
      add(each.record.endpoint, each.record.domain, each.broken_at);
    }
  }
  for (const auto& [start_key, start] : ended_) {
    if (start.service == service) {
      add(start_key, start.domain, start.seen_at);
    }
  }
  endpoint_population population = known->second;
  for (const auto& [start_key, domain] : ended) {
    ++population[domain].ended;
  }
  return population;
}

double crash_attribution::BrokenShare(steady_time now,
                                      const suspicion& suspect) const {
  double ended = 0;
  double broken = 0;
  const auto found = services_.find(suspect.service);
  if (found != services_.end()) {
    const double weight = DecayFactor(now - found->second.counted_at);
    ended = found->second.ended * weight;
    broken = found->second.broken * weight;
  }
  for (const known_record& each : records_) {
    if (each.is_own && suspect.crashes.contains(each.record.endpoint)) {
      const double weight = DecayFactor(now - each.broken_at);
      ended -= weight;
      broken -= weight;
    }
  }
  const double broken_share =
      (std::max(broken, 0.0) + 1) / (std::max(ended, 0.0) + kAssumedAttempts);
  return std::min(broken_share, 1.0);
}

bool crash_attribution::IsServiceAnswering(const crash_key& key,
                                           const suspicion& suspect) const {
  return IsRequest(key) ? HasAnswerBetween(suspect)
                        : HasAnswersSince(key, suspect);
}

bool crash_attribution::HasAnswersSince(const crash_key& key,
                                        const suspicion& suspect) const {
  const auto found = services_.find(suspect.service);
  if (found == services_.end()) {
    return false;
  }
  const service_counts& counts = found->second;
  return counts.answering_at > suspect.FirstCrash() ||
         counts.whole_answers >=
             keys_.at(key).answers_before + kMinOtherAnswers;
}

bool crash_attribution::HasAnswerBetween(const suspicion& suspect) const {
  const steady_time first = suspect.FirstCrash();
  const steady_time last = suspect.LastCrash();
  return std::any_of(
      records_.begin(), records_.end(), [&](const known_record& each) {
        const uint32_t before_ms = each.record.answered_before_ms;
        const steady_time answered_at =
            each.broken_at - milliseconds(before_ms);
        return before_ms != kNeverAnswered &&
               each.record.service == suspect.service && answered_at > first &&
               answered_at < last;
      });
}

void crash_attribution::NoteAnsweringServices(steady_time now,
                                              const suspicions& all) {
  for (const auto& [key, suspect] : all) {
    if (suspect.crashes.size() < kMinCrashes) {
      continue;
    }
    service_counts& counts = services_[suspect.service];
    const bool is_answering =
        counts.whole_answers >= keys_.at(key).answers_before + kMinOtherAnswers;
    if (is_answering && now >= counts.answering_at + kAnsweringInterval) {
      counts.answering_at = now;
      service_news_.insert(suspect.service);
    }
  }
}

bool crash_attribution::IsGuilty(steady_time now,
                                 const crash_key& key,
                                 const suspicion& suspect) const {
  if (verdicts_.contains(key)) {
    return true;
  }
  if (!IsRequest(key) && suspect.requests.size() < kMinRequestsOfPart) {
    return false;
  }
  return IsGuiltyBySequence(now, key, suspect) ||
         IsGuiltyByGroups(now, key, suspect);
}

bool crash_attribution::IsGuiltyByGroups(steady_time now,
                                         const crash_key& key,
                                         const suspicion& suspect) const {
  return suspect.crashes.size() >= kMinGroup && !suspect.was_answered &&
         HasAnswersSince(key, suspect) &&
         ChanceOfGroups(now, suspect) <= kMaxGroupChance;
}

bool crash_attribution::IsGuiltyBySequence(steady_time now,
                                           const crash_key& key,
                                           const suspicion& suspect) const {
  const verdict_rule& rule = IsRequest(key)         ? kRequestRule
                             : suspect.was_answered ? kAnsweredPartRule
                                                    : kPartRule;
  const size_t crashes = suspect.CountCrashes();
  return now >= suspect.FirstCrash() + rule.settle_time &&
         IsServiceAnswering(key, suspect) && crashes >= rule.min_crashes &&
         (crashes >= rule.enough_crashes ||
          ChanceOf(now, suspect) <= rule.max_chance);
}

crash_attribution::verdicts crash_attribution::Decide(steady_time now) {
  // Of keys that are always together, the last one is in the fewest requests.
  const auto order = [](const auto& each) {
    const suspicion& suspect = each.second;
    const bool is_weak = suspect.was_answered && !IsRequest(each.first);
    return std::pair((is_weak ? kAnsweredWeight : 1) *
                         static_cast<double>(suspect.CountCrashes()),
                     suspect.position);
  };
  held_back_until_.clear();
  verdicts guilty;
  suspicions all = SuspicionsBeside(guilty);
  UpdateSuspects(all);
  NoteAnsweringServices(now, all);
  while (guilty.size() < kMaxVerdicts) {
    const std::pair<const crash_key, suspicion>* worst = nullptr;
    for (const auto& each : all) {
      if (IsGuilty(now, each.first, each.second) &&
          (worst == nullptr || order(*worst) < order(each))) {
        worst = &each;
      }
    }
    if (worst == nullptr) {
      break;
    }
    const auto& [key, suspect] = *worst;
    const duration block_time = !suspect.is_request && suspect.IsOfGroupsOnly()
                                    ? duration(kGroupBlock)
                                    : BlockTime(key, suspect.CountCrashes());
    guilty[key] = LastCrash(key) + block_time;
    HoldBack(key, suspect);
    all = SuspicionsBeside(guilty);
  }
  for (const auto& [key, suspect] : all) {
    HoldBack(key, suspect);
  }
  is_undecided_ = std::any_of(all.begin(), all.end(), [](const auto& each) {
    return each.second.crashes.size() >= kMinCrashes;
  });
  return guilty;
}

steady_time crash_attribution::LastCrash(const crash_key& key) const {
  steady_time last{};
  for (const known_record& each : records_) {
    if (Contains(each.keys, key) && Counts(each, key)) {
      last = std::max(last, each.broken_at);
    }
  }
  return last;
}

block_change::reason crash_attribution::ReleaseReason(
    const crash_key& key) const {
  const auto found = keys_.find(key);
  if (found == keys_.end() || verdicts_.contains(key)) {
    return block_change::reason::kExpired;
  }
  const bool is_answered =
      found->second.was_answered && found->second.answered_at > LastCrash(key);
  return is_answered ? block_change::reason::kWholeAnswer
                     : block_change::reason::kExplained;
}

block_change crash_attribution::BlockOf(steady_time now,
                                        const crash_key& key) const {
  verdicts others = verdicts_;
  others.erase(key);
  const suspicions all = SuspicionsBeside(others);
  const auto found = all.find(key);
  if (found == all.end()) {
    return {key, block_change::reason::kCrashes, {}, 0, 0};
  }
  const suspicion& suspect = found->second;
  const bool is_by_groups = suspect.IsOfGroupsOnly();
  return {key, block_change::reason::kCrashes, suspect.service,
          is_by_groups ? suspect.crashes.size() : suspect.CountCrashes(),
          is_by_groups ? ChanceOfGroups(now, suspect) : ChanceOf(now, suspect)};
}

std::vector<block_change> crash_attribution::Update(steady_time now) {
  std::vector<block_change> changes;
  if (now < next_decision_) {
    return changes;
  }
  next_decision_ = now + kDecisionInterval;
  Expire(now);
  if (has_changed_ || (is_undecided_ && now >= next_undecided_decision_)) {
    has_changed_ = false;
    next_undecided_decision_ = now + kUndecidedInterval;
    verdicts_ = Decide(now);
    std::erase_if(trials_, [this](const auto& each) {
      return !verdicts_.contains(each.first);
    });
  }
  std::set<crash_key> blocked;
  for (const auto& [key, until] : verdicts_) {
    if (now < until) {
      blocked.insert(key);
    }
  }
  for (const crash_key& key : blocked) {
    if (!blocked_.contains(key)) {
      changes.push_back(BlockOf(now, key));
    }
  }
  for (const crash_key& key : blocked_) {
    if (!blocked.contains(key)) {
      changes.push_back({key, ReleaseReason(key), {}, 0, 0});
    }
  }
  blocked_ = std::move(blocked);
  return changes;
}

size_t crash_attribution::CountBlocked(crash_key::kind what) const {
  return static_cast<size_t>(
      std::count_if(blocked_.begin(), blocked_.end(),
                    [what](const crash_key& key) { return key.what == what; }));
}

bool crash_attribution::IsBlocked(steady_time now,
                                  const request_traits& traits) const {
  if (verdicts_.empty()) {
    return false;
  }
  const std::vector<crash_key> keys = KeysOf(traits);
  return std::any_of(keys.begin(), keys.end(), [&](const crash_key& key) {
    const auto found = verdicts_.find(key);
    return found != verdicts_.end() && now < found->second;
  });
}

bool crash_attribution::IsHeldBack(steady_time now,
                                   const request_traits& traits,
                                   bool is_repeat) const {
  if (held_back_until_.empty()) {
    return false;
  }
  const std::vector<crash_key> keys = KeysOf(traits);
  return std::any_of(keys.begin(), keys.end(), [&](const crash_key& key) {
    const auto found = held_back_until_.find(key);
    return found != held_back_until_.end() && now < found->second &&
           (is_repeat || IsRequest(key));
  });
}

bool crash_attribution::IsTrialDue(steady_time now,
                                   const request_traits& traits) const {
  if (verdicts_.empty()) {
    return false;
  }
  bool is_blocked = false;
  for (const crash_key& key : KeysOf(traits)) {
    const auto found = verdicts_.find(key);
    if (found == verdicts_.end() || now >= found->second) {
      continue;
    }
    is_blocked = true;
    const auto known = trials_.find(key);
    const trial_record trials =
        known == trials_.end() ? trial_record{} : known->second;
    if (IsRequest(key) ||
        now < std::max(LastCrash(key), trials.last_at) + kTrialDelay ||
        trials.count >= kMaxTrials || CountEnded(key) >= kMaxTrialCrashes) {
      return false;
    }
  }
  return is_blocked;
}

void crash_attribution::BeginTrial(steady_time now,
                                   const request_traits& traits) {
  for (const crash_key& key : KeysOf(traits)) {
    if (verdicts_.contains(key)) {
      trials_[key] = {now, trials_[key].count + 1};
    }
  }
}

duration crash_attribution::BlockedFor(steady_time now,
                                       const request_traits& traits) const {
  duration longest{};
  for (const crash_key& key : KeysOf(traits)) {
    const auto blocked = verdicts_.find(key);
    if (blocked != verdicts_.end()) {
      longest = std::max<duration>(longest, blocked->second - now);
    }
    const auto held_back = held_back_until_.find(key);
    if (IsRequest(key) && held_back != held_back_until_.end()) {
      longest = std::max<duration>(longest, held_back->second - now);
    }
  }
  return longest;
}

crash_evidence crash_attribution::TakeNews(steady_time now) {
  crash_evidence news;
  for (const known_record& each : records_) {
    if (crash_news_.contains({each.record.endpoint, each.record.request})) {
      news.crashes.push_back(each.record);
      news.crashes.back().age_ms = AgeMs(now, each.broken_at);
    }
  }
  for (const crash_key& key : answer_news_) {
    const auto found = keys_.find(key);
    if (found != keys_.end()) {
      news.whole_answers.push_back(
          {key.value, AgeMs(now, found->second.answered_at), IsRequest(key)});
    }
  }
  for (const service_id& service : service_news_) {
    news.service_answers.push_back(
        {service, AgeMs(now, services_[service].answering_at)});
  }
  for (const uint64_t start_key : ended_news_) {
    if (ended_.contains(start_key)) {
      news.crashes.push_back(EndedRecord(now, start_key));
    }
  }
  ended_news_.clear();
  service_news_.clear();
  crash_news_.clear();
  answer_news_.clear();
  return news;
}

crash_evidence crash_attribution::Snapshot(steady_time now) const {
  crash_evidence snapshot;
  std::set<crash_key> keys;
  // What explains a verdict first, then the newest.
  for (const bool explains : {true, false}) {
    for (auto each = records_.rbegin(); each != records_.rend(); ++each) {
      if (snapshot.crashes.size() >= kMaxSnapshotRecords) {
        break;
      }
      if (ExplainsVerdict(*each) == explains) {
        snapshot.crashes.push_back(each->record);
        snapshot.crashes.back().age_ms = AgeMs(now, each->broken_at);
        keys.insert(each->keys.begin(), each->keys.end());
      }
    }
  }
  for (const auto& [start_key, ended] : ended_) {
    if (now < ended.seen_at + kEndedLifetime) {
      snapshot.crashes.push_back(EndedRecord(now, start_key));
    }
  }
  for (const crash_key& key : keys) {
    const key_state& state = keys_.at(key);
    if (state.was_answered) {
      snapshot.whole_answers.push_back(
          {key.value, AgeMs(now, state.answered_at), IsRequest(key)});
    }
  }
  for (const auto& [service, counts] : services_) {
    if (counts.answering_at != steady_time{}) {
      snapshot.service_answers.push_back(
          {service, AgeMs(now, counts.answering_at)});
    }
  }
  return snapshot;
}

}  // namespace shallotport
