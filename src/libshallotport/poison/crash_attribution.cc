#include "poison/crash_attribution.h"

#include <algorithm>
#include <cmath>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxRecords = 1'024;
constexpr size_t kMaxSnapshotRecords = 256;
constexpr std::chrono::minutes kRecordLifetime{10};
constexpr size_t kMaxAnsweredParts = 8'192;
constexpr size_t kMaxBlockedParts = 64;
// From a part's first crash to a verdict: by then a whole answer to a popular
// part has been received and passed on.
constexpr milliseconds kSettleTime{500};
constexpr milliseconds kAnsweredSettleTime{1'500};
constexpr milliseconds kDecisionInterval{20};
// After the second crash of a part; doubled with each further one.
constexpr milliseconds kRepeatDelay{1'000};
constexpr size_t kMinRepeatCrashes = 2;
constexpr size_t kMaxRepeatDoublings = 9;
constexpr size_t kMinCrashes = 3;
constexpr size_t kMinAnsweredCrashes = 6;
// Thousands of parts are asked for while endpoints fail for other reasons.
constexpr double kMaxChance = 5e-7;
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

// The weight of an attempt that ended this long ago.
double DecayFactor(duration age) {
  const std::chrono::duration<double> seconds = age;
  const std::chrono::duration<double> half_life = kCountHalfLife;
  return std::exp2(-std::max(seconds / half_life, 0.0));
}

}  // namespace

size_t crash_attribution::suspicion::CountCrashes() const {
  std::vector<suspected_crash> in_order;
  for (const auto& [endpoint, crash] : crashes) {
    in_order.push_back(crash);
  }
  std::sort(in_order.begin(), in_order.end(),
            [](const suspected_crash& a, const suspected_crash& b) {
              return a.broken_at < b.broken_at;
            });
  size_t count = 0;
  steady_time last{};
  for (const suspected_crash& each : in_order) {
    if (count == 0 || each.begun_at >= last) {
      ++count;
      last = each.broken_at;
    }
  }
  return count;
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

void crash_attribution::RecordBreak(steady_time now,
                                    const service_id& service) {
  service_counts& counts = DecayedCounts(now, service);
  counts.ended += 1;
  counts.broken += 1;
}

void crash_attribution::RecordWholeAnswer(steady_time now,
                                          const service_id& service,
                                          std::span<const prompt_part> parts) {
  service_counts& counts = DecayedCounts(now, service);
  counts.ended += 1;
  counts.whole_answers += 1;
  for (const prompt_part part : parts) {
    if (!parts_.contains(part)) {
      RememberAnswer(part, now);
    } else if (AddAnswer(part, now)) {
      answer_news_.insert(part);
    }
  }
}

bool crash_attribution::AddAnswer(prompt_part part, steady_time answered_at) {
  const auto found = parts_.find(part);
  if (found == parts_.end()) {
    return false;
  }
  part_state& state = found->second;
  if (state.was_answered && answered_at <= state.answered_at) {
    return false;
  }
  const bool is_news = !state.was_answered || ExcusesCrash(part, answered_at);
  state.was_answered = true;
  state.answered_at = answered_at;
  has_changed_ = has_changed_ || state.is_suspected;
  return is_news;
}

bool crash_attribution::ExcusesCrash(prompt_part part,
                                     steady_time answered_at) const {
  return std::any_of(
      records_.begin(), records_.end(), [&](const known_record& each) {
        const auto& parts = each.record.parts;
        return each.broken_at < answered_at && Counts(each, part) &&
               std::find(parts.begin(), parts.end(), part) != parts.end();
      });
}

void crash_attribution::RememberAnswer(prompt_part part,
                                       steady_time answered_at) {
  if (answered_.insert_or_assign(part, answered_at).second) {
    answered_order_.push_back(part);
  }
  if (answered_order_.size() > kMaxAnsweredParts) {
    answered_.erase(answered_order_.front());
    answered_order_.pop_front();
  }
}

void crash_attribution::RecordCrash(steady_time now,
                                    const crash_record& record) {
  if (Add(record, now - milliseconds(record.age_ms), true)) {
    crash_news_.insert({record.endpoint, record.request});
  }
}

void crash_attribution::Merge(steady_time now,
                              const crash_evidence& evidence,
                              role sender) {
  const bool is_passed_on = role_ == role::kRelay && sender == role::kObserver;
  for (const crash_record& each : evidence.crashes) {
    const bool is_new = Add(each, now - milliseconds(each.age_ms), false);
    if (is_new && is_passed_on) {
      crash_news_.insert({each.endpoint, each.request});
    }
  }
  for (const whole_answer_record& each : evidence.whole_answers) {
    const bool is_news = AddAnswer(each.part, now - milliseconds(each.age_ms));
    if (is_news && is_passed_on) {
      answer_news_.insert(each.part);
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
  const record_key key(record.endpoint, record.request);
  if (record.parts.empty() || record.parts.size() > kMaxSharedParts ||
      !known_.insert(key).second) {
    return false;
  }
  records_.push_back({record, broken_at, is_own});
  has_changed_ = true;
  for (const prompt_part part : record.parts) {
    part_state& state = parts_[part];
    const auto answered = answered_.find(part);
    if (!state.was_answered && answered != answered_.end()) {
      state.was_answered = true;
      state.answered_at = answered->second;
      // Others may not know that it was sound.
      answer_news_.insert(part);
    }
  }
  if (records_.size() > kMaxRecords) {
    const crash_record& oldest = records_.front().record;
    known_.erase({oldest.endpoint, oldest.request});
    records_.pop_front();
    ForgetUnusedParts();
  }
  return true;
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
  ForgetUnusedParts();
  has_changed_ = true;
}

void crash_attribution::ForgetUnusedParts() {
  std::set<prompt_part> used;
  for (const known_record& each : records_) {
    used.insert(each.record.parts.begin(), each.record.parts.end());
  }
  for (auto at = parts_.begin(); at != parts_.end();) {
    if (used.contains(at->first)) {
      ++at;
      continue;
    }
    if (at->second.was_answered) {
      RememberAnswer(at->first, at->second.answered_at);
    }
    at = parts_.erase(at);
  }
}

bool crash_attribution::Counts(const known_record& known,
                               prompt_part part) const {
  const part_state& state = parts_.at(part);
  return !state.was_answered || state.answered_at <= known.broken_at;
}

crash_attribution::suspicions crash_attribution::SuspicionsBeside(
    const std::set<prompt_part>& blocked) const {
  std::set<uint64_t> explained;  // Endpoints.
  for (const known_record& each : records_) {
    for (const prompt_part part : each.record.parts) {
      if (blocked.contains(part) && Counts(each, part)) {
        explained.insert(each.record.endpoint);
      }
    }
  }
  suspicions all;
  for (const known_record& each : records_) {
    if (explained.contains(each.record.endpoint)) {
      continue;
    }
    for (size_t i = 0; i < each.record.parts.size(); ++i) {
      const prompt_part part = each.record.parts[i];
      if (!Counts(each, part)) {
        continue;
      }
      suspicion& suspect = all[part];
      suspect.service = each.record.service;
      suspect.position = std::max(suspect.position, i);
      suspect.was_answered = parts_.at(part).was_answered;
      const steady_time begun_at =
          each.broken_at - milliseconds(each.record.ran_ms);
      const auto [at, is_new] = suspect.crashes.try_emplace(
          each.record.endpoint, suspected_crash{each.broken_at, begun_at});
      suspected_crash& crash = at->second;
      crash.broken_at = std::min(crash.broken_at, each.broken_at);
      crash.begun_at = std::max(crash.begun_at, begun_at);
    }
  }
  return all;
}

void crash_attribution::UpdateSuspects(const suspicions& all) {
  repeats_blocked_until_.clear();
  for (const auto& [part, suspect] : all) {
    const size_t crashes = suspect.CountCrashes();
    if (crashes >= kMinRepeatCrashes) {
      const size_t doublings =
          std::min(crashes - kMinRepeatCrashes, kMaxRepeatDoublings);
      repeats_blocked_until_[part] =
          suspect.LastCrash() + kRepeatDelay * (1u << doublings);
    }
  }
  for (auto& [part, state] : parts_) {
    const auto found = all.find(part);
    const bool is_suspected = found != all.end();
    if (is_suspected && !state.is_suspected) {
      state.answers_before = services_[found->second.service].whole_answers;
    }
    state.is_suspected = is_suspected;
  }
}

double crash_attribution::ChanceOf(steady_time now,
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
  return std::pow(std::min(broken_share, 1.0),
                  static_cast<double>(suspect.CountCrashes()));
}

bool crash_attribution::IsServiceAnswering(prompt_part part,
                                           const suspicion& suspect) const {
  const auto found = services_.find(suspect.service);
  if (found == services_.end()) {
    return false;
  }
  const service_counts& counts = found->second;
  return counts.answering_at > suspect.FirstCrash() ||
         counts.whole_answers >=
             parts_.at(part).answers_before + kMinOtherAnswers;
}

void crash_attribution::NoteAnsweringServices(steady_time now,
                                              const suspicions& all) {
  for (const auto& [part, suspect] : all) {
    if (suspect.crashes.size() < kMinCrashes) {
      continue;
    }
    service_counts& counts = services_[suspect.service];
    const bool is_answering = counts.whole_answers >=
                              parts_.at(part).answers_before + kMinOtherAnswers;
    if (is_answering && now >= counts.answering_at + kAnsweringInterval) {
      counts.answering_at = now;
      service_news_.insert(suspect.service);
    }
  }
}

bool crash_attribution::IsGuilty(steady_time now,
                                 prompt_part part,
                                 const suspicion& suspect) const {
  if (blocked_.contains(part)) {
    return true;
  }
  const duration settle_time =
      suspect.was_answered ? kAnsweredSettleTime : kSettleTime;
  const size_t min_crashes =
      suspect.was_answered ? kMinAnsweredCrashes : kMinCrashes;
  return now >= suspect.FirstCrash() + settle_time &&
         IsServiceAnswering(part, suspect) &&
         suspect.CountCrashes() >= min_crashes &&
         ChanceOf(now, suspect) <= kMaxChance;
}

std::set<prompt_part> crash_attribution::Decide(
    steady_time now,
    std::vector<block_change>& changes) {
  std::set<prompt_part> guilty;
  while (guilty.size() < kMaxBlockedParts) {
    const suspicions all = SuspicionsBeside(guilty);
    if (guilty.empty()) {
      UpdateSuspects(all);
      NoteAnsweringServices(now, all);
    }
    is_undecided_ = std::any_of(all.begin(), all.end(), [](const auto& each) {
      return each.second.crashes.size() >= kMinCrashes;
    });
    // Of parts that are always together, the last one is in the fewest prompts.
    const auto order = [](const suspicion& suspect) {
      const double weight = suspect.was_answered ? kAnsweredWeight : 1;
      return std::pair(weight * static_cast<double>(suspect.CountCrashes()),
                       suspect.position);
    };
    const std::pair<const prompt_part, suspicion>* worst = nullptr;
    for (const auto& each : all) {
      if (IsGuilty(now, each.first, each.second) &&
          (worst == nullptr || order(worst->second) < order(each.second))) {
        worst = &each;
      }
    }
    if (worst == nullptr) {
      break;
    }
    guilty.insert(worst->first);
    if (!blocked_.contains(worst->first)) {
      changes.push_back({worst->first, block_change::reason::kCrashes,
                         worst->second.service, worst->second.CountCrashes(),
                         ChanceOf(now, worst->second)});
    }
  }
  return guilty;
}

steady_time crash_attribution::LastCrash(prompt_part part) const {
  steady_time last{};
  for (const known_record& each : records_) {
    const auto& parts = each.record.parts;
    if (std::find(parts.begin(), parts.end(), part) != parts.end()) {
      last = std::max(last, each.broken_at);
    }
  }
  return last;
}

block_change::reason crash_attribution::ReleaseReason(prompt_part part) const {
  const auto found = parts_.find(part);
  if (found == parts_.end()) {
    return block_change::reason::kExpired;
  }
  const bool is_answered =
      found->second.was_answered && found->second.answered_at > LastCrash(part);
  return is_answered ? block_change::reason::kWholeAnswer
                     : block_change::reason::kExplained;
}

std::vector<block_change> crash_attribution::Update(steady_time now) {
  std::vector<block_change> changes;
  if (now < next_decision_) {
    return changes;
  }
  next_decision_ = now + kDecisionInterval;
  Expire(now);
  if (!has_changed_ && !is_undecided_) {
    return changes;
  }
  has_changed_ = false;
  const std::set<prompt_part> guilty = Decide(now, changes);
  for (const auto& [part, last_crash] : blocked_) {
    if (!guilty.contains(part)) {
      changes.push_back({part, ReleaseReason(part), {}, 0, 0});
    }
  }
  blocked_.clear();
  for (const prompt_part part : guilty) {
    blocked_[part] = LastCrash(part);
  }
  return changes;
}

bool crash_attribution::IsBlocked(std::span<const prompt_part> parts) const {
  return !blocked_.empty() &&
         std::any_of(parts.begin(), parts.end(), [this](prompt_part part) {
           return blocked_.contains(part);
         });
}

bool crash_attribution::IsRepeatBlocked(
    steady_time now,
    std::span<const prompt_part> parts) const {
  return !repeats_blocked_until_.empty() &&
         std::any_of(parts.begin(), parts.end(), [&](prompt_part part) {
           const auto found = repeats_blocked_until_.find(part);
           return found != repeats_blocked_until_.end() && now < found->second;
         });
}

duration crash_attribution::BlockedFor(
    steady_time now,
    std::span<const prompt_part> parts) const {
  duration longest{};
  for (const prompt_part part : parts) {
    const auto found = blocked_.find(part);
    if (found != blocked_.end()) {
      longest =
          std::max<duration>(longest, found->second + kRecordLifetime - now);
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
  for (const prompt_part part : answer_news_) {
    const auto found = parts_.find(part);
    if (found != parts_.end()) {
      news.whole_answers.push_back(
          {part, AgeMs(now, found->second.answered_at)});
    }
  }
  for (const service_id& service : service_news_) {
    news.service_answers.push_back(
        {service, AgeMs(now, services_[service].answering_at)});
  }
  service_news_.clear();
  crash_news_.clear();
  answer_news_.clear();
  return news;
}

crash_evidence crash_attribution::Snapshot(steady_time now) const {
  crash_evidence snapshot;
  std::set<prompt_part> parts;
  for (auto each = records_.rbegin();
       each != records_.rend() && snapshot.crashes.size() < kMaxSnapshotRecords;
       ++each) {
    snapshot.crashes.push_back(each->record);
    snapshot.crashes.back().age_ms = AgeMs(now, each->broken_at);
    parts.insert(each->record.parts.begin(), each->record.parts.end());
  }
  for (const prompt_part part : parts) {
    const part_state& state = parts_.at(part);
    if (state.was_answered) {
      snapshot.whole_answers.push_back({part, AgeMs(now, state.answered_at)});
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
