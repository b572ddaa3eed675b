#include "control/configuration_state.h"

#include <algorithm>
#include <cereal/types/deque.hpp>
#include <istream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>

#include "base/codec.h"
#include "base/digest.h"

namespace shallotport {
namespace {

constexpr uint32_t kSnapshotFormat = 1;

}  // namespace

class configuration_state::writer final : public snapshot_writer {
 public:
  explicit writer(state_data data) : data_(std::move(data)) {}

  status Write(std::ostream& out) override {
    const std::string bytes = Encode(data_);
    out.write(reinterpret_cast<const char*>(&kSnapshotFormat),
              sizeof(kSnapshotFormat));
    out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (!out) {
      return MakeError(error_kind::kStorageFailed,
                       "writing the configuration snapshot");
    }
    return success{};
  }

 private:
  state_data data_;
};

std::string configuration_state::Apply(const apply_context& context,
                                       std::string_view command) {
  auto decoded = Decode<configuration_change>(command);
  if (!IsOk(decoded) || ValueOf(decoded).change_id.empty()) {
    ++data_.refused;
    return Encode(
        change_outcome{change_verdict::kInvalid, data_.revision, false});
  }
  return Encode(Decide(context, std::move(ValueOf(decoded)), HashOf(command)));
}

change_outcome configuration_state::Decide(const apply_context& context,
                                           configuration_change change,
                                           uint64_t digest) {
  const auto seen = outcome_numbers_.find(change.change_id);
  if (seen != outcome_numbers_.end()) {
    ++data_.repeated;
    const remembered_outcome& first =
        data_.outcomes[seen->second - first_outcome_];
    if (first.digest != digest) {
      return {change_verdict::kChangeIdReused, data_.revision, true};
    }
    return {first.outcome.verdict, first.outcome.revision, true};
  }
  std::string change_id = change.change_id;
  change_outcome outcome{change_verdict::kConflict, data_.revision, false};
  if (change.expected_revision == data_.revision) {
    PutIntoForce(context, std::move(change));
    outcome = {change_verdict::kAccepted, context.index, false};
    ++data_.accepted;
  } else {
    ++data_.refused;
  }
  Remember(std::move(change_id), digest, outcome);
  return outcome;
}

void configuration_state::PutIntoForce(const apply_context& context,
                                       configuration_change change) {
  SortById(change.parsed);
  data_.changes.Track(data_.parsed, change.parsed, context.index);
  AddToHistory(context, change);
  data_.parsed = std::move(change.parsed);
  data_.text = std::move(change.text);
  data_.revision = context.index;
}

void configuration_state::Remember(std::string change_id,
                                   uint64_t digest,
                                   change_outcome outcome) {
  outcome_numbers_[change_id] = first_outcome_ + data_.outcomes.size();
  data_.outcomes.push_back({std::move(change_id), digest, outcome});
  if (data_.outcomes.size() > kOutcomesKept) {
    outcome_numbers_.erase(data_.outcomes.front().change_id);
    data_.outcomes.pop_front();
    ++first_outcome_;
  }
}

void configuration_state::AddToHistory(const apply_context& context,
                                       const configuration_change& change) {
  history_entry entry;
  entry.record = {context.index, data_.revision, change.change_id,
                  change.author, change.note,    context.leader_time};
  entry.older_text = Difference(data_.text, change.text);
  data_.history_bytes += entry.older_text.middle.size();
  data_.history.push_back(std::move(entry));
  TrimHistory();
}

void configuration_state::TrimHistory() {
  while (data_.history.size() > kHistoryKept ||
         (data_.history.size() > 1 && data_.history_bytes > kHistoryBytes)) {
    data_.history_bytes -= data_.history.front().older_text.middle.size();
    data_.history.pop_front();
  }
}

std::string configuration_state::Query(std::string_view query) const {
  const auto decoded = Decode<configuration_query>(query);
  if (!IsOk(decoded)) {
    return {};
  }
  const uint64_t argument = ValueOf(decoded).argument;
  switch (ValueOf(decoded).kind) {
    case configuration_query_kind::kCurrent:
      return Encode(
          configuration_in_force{data_.revision, data_.parsed, data_.text});
    case configuration_query_kind::kSince:
      return Encode(Since(argument));
    case configuration_query_kind::kHistory:
      return Encode(History(argument));
    case configuration_query_kind::kText:
      return Encode(TextOf(argument));
  }
  return {};
}

configuration_delta configuration_state::Since(log_index revision) const {
  return data_.changes.Since(revision, data_.revision, data_.parsed);
}

std::vector<change_record> configuration_state::History(uint64_t limit) const {
  const size_t count = std::min<size_t>(limit, data_.history.size());
  std::vector<change_record> records;
  records.reserve(count);
  for (auto entry = data_.history.rbegin(); records.size() < count; ++entry) {
    records.push_back(entry->record);
  }
  return records;
}

configuration_text configuration_state::TextOf(log_index revision) const {
  std::string text = data_.text;
  log_index at = data_.revision;
  for (auto entry = data_.history.rbegin();
       at != revision && entry != data_.history.rend(); ++entry) {
    text = Restore(entry->older_text, text);
    at = entry->record.previous_revision;
  }
  if (at != revision || revision == 0) {
    return {};
  }
  return {true, std::move(text)};
}

configuration_state::text_difference configuration_state::Difference(
    std::string_view older,
    std::string_view newer) {
  const auto [old_end, new_end] =
      std::mismatch(older.begin(), older.end(), newer.begin(), newer.end());
  const auto prefix = static_cast<size_t>(old_end - older.begin());
  older.remove_prefix(prefix);
  newer.remove_prefix(prefix);
  const auto [old_start, new_start] =
      std::mismatch(older.rbegin(), older.rend(), newer.rbegin(), newer.rend());
  const auto suffix = static_cast<size_t>(old_start - older.rbegin());
  older.remove_suffix(suffix);
  return {prefix, suffix, std::string(older)};
}

std::string configuration_state::Restore(const text_difference& difference,
                                         std::string_view newer) {
  std::string text(newer.substr(0, difference.same_prefix));
  text += difference.middle;
  text += newer.substr(newer.size() - difference.same_suffix);
  return text;
}

std::unique_ptr<snapshot_writer> configuration_state::BeginSnapshot() const {
  return std::make_unique<writer>(data_);
}

status configuration_state::LoadSnapshot(std::istream& in) {
  const std::string bytes{std::istreambuf_iterator<char>(in),
                          std::istreambuf_iterator<char>()};
  uint32_t format = 0;
  if (bytes.size() < sizeof(format)) {
    return MakeError(error_kind::kCorrupt, "configuration snapshot is short");
  }
  std::copy_n(bytes.data(), sizeof(format), reinterpret_cast<char*>(&format));
  if (format != kSnapshotFormat) {
    return MakeError(error_kind::kCorrupt,
                     "configuration snapshot has an unknown format");
  }
  auto decoded =
      Decode<state_data>(std::string_view(bytes).substr(sizeof(format)));
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  data_ = std::move(ValueOf(decoded));
  IndexOutcomes();
  return success{};
}

void configuration_state::IndexOutcomes() {
  outcome_numbers_.clear();
  first_outcome_ = 0;
  for (size_t i = 0; i < data_.outcomes.size(); ++i) {
    outcome_numbers_[data_.outcomes[i].change_id] = i;
  }
}

void configuration_state::WriteState(nlohmann::json& out) const {
  out["revision"] = data_.revision;
  out["accounts"] = data_.parsed.accounts.size();
  out["services"] = data_.parsed.services.size();
  out["delta_floor"] = data_.changes.floor();
  nlohmann::json& counters = out["counters"];
  counters["configuration_revision"] = data_.revision;
  counters["configuration_changes_accepted"] = data_.accepted;
  counters["configuration_changes_refused"] = data_.refused;
  counters["configuration_changes_repeated"] = data_.repeated;
  counters["configuration_history_entries"] = data_.history.size();
  counters["configuration_history_bytes"] = data_.history_bytes;
  counters["configuration_outcomes_kept"] = data_.outcomes.size();
}

}  // namespace shallotport
