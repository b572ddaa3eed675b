#include "consensus/consensus_message.h"

#include "base/codec.h"

namespace shallotport {

// Entries are shared between the log and the messages, so the archive gets the
// entries that the pointers refer to.
template <typename Archive>
void save(Archive& archive, const append_request& request) {
  archive(request.round, request.previous_index, request.previous_term,
          request.commit_index,
          cereal::make_size_tag(
              static_cast<cereal::size_type>(request.entries.size())));
  for (const log_entry_pointer& entry : request.entries) {
    archive(*entry);
  }
}

template <typename Archive>
void load(Archive& archive, append_request& request) {
  cereal::size_type count = 0;
  archive(request.round, request.previous_index, request.previous_term,
          request.commit_index, cereal::make_size_tag(count));
  for (cereal::size_type i = 0; i < count; ++i) {
    auto entry = std::make_shared<log_entry>();
    archive(*entry);
    request.entries.push_back(std::move(entry));
  }
}

template <typename Archive>
void serialize(Archive& archive, consensus_message& message) {
  archive(message.group, message.from, message.from_incarnation, message.to,
          message.to_incarnation, message.term, message.body);
}

namespace {

bool IsKnown(entry_kind kind) {
  return kind == entry_kind::kNoop || kind == entry_kind::kCommand ||
         kind == entry_kind::kMembership;
}

// The entries of an append request must have consecutive indices and terms that
// do not decrease.
bool IsWellFormed(const consensus_message& message) {
  const auto* request = std::get_if<append_request>(&message.body);
  if (request == nullptr) {
    return true;
  }
  log_index expected = request->previous_index;
  uint64_t term = request->previous_term;
  for (const log_entry_pointer& entry : request->entries) {
    const bool follows = entry->index == ++expected && entry->term >= term &&
                         entry->term <= message.term;
    if (!follows || !IsKnown(entry->kind)) {
      return false;
    }
    term = entry->term;
  }
  return true;
}

}  // namespace

std::string EncodeMessage(const consensus_message& message) {
  return Encode(message);
}

result<consensus_message> DecodeMessage(std::string_view bytes) {
  auto decoded = Decode<consensus_message>(bytes);
  if (IsOk(decoded) && !IsWellFormed(ValueOf(decoded))) {
    return MakeError(error_kind::kCorrupt, "entries out of order");
  }
  return decoded;
}

std::string EncodeEntry(const log_entry& entry) {
  return Encode(entry);
}

result<log_entry> DecodeEntry(std::string_view bytes) {
  auto decoded = Decode<log_entry>(bytes);
  if (IsOk(decoded) && !IsKnown(ValueOf(decoded).kind)) {
    return MakeError(error_kind::kCorrupt, "unknown kind of entry");
  }
  return decoded;
}

}  // namespace shallotport
