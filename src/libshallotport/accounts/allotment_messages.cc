#include "accounts/allotment_messages.h"

#include "base/codec.h"

namespace shallotport {

namespace {

// The first bytes of each message.
constexpr uint32_t kNeedsFormat = 0x314E4C41;    // "ALN1"
constexpr uint32_t kGrantsFormat = 0x31474C41;   // "ALG1"
constexpr uint32_t kBusyFormat = 0x31424C41;     // "ALB1"
constexpr uint32_t kRecordsFormat = 0x31524C41;  // "ALR1"

template <typename T>
struct tagged_list {
  uint32_t format = 0;
  std::vector<T> entries;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(format, entries);
  }
};

template <typename T>
result<std::vector<T>> DecodeTagged(std::string_view bytes, uint32_t format) {
  auto decoded = DecodeGrowing<tagged_list<T>>(bytes);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  if (ValueOf(decoded).format != format) {
    return MakeError(error_kind::kCorrupt, "message of another kind");
  }
  return std::move(ValueOf(decoded).entries);
}

}  // namespace

std::string EncodeNeeds(const std::vector<allotment_need>& needs) {
  return Encode(tagged_list<allotment_need>{kNeedsFormat, needs});
}

result<std::vector<allotment_need>> DecodeNeeds(std::string_view bytes) {
  return DecodeTagged<allotment_need>(bytes, kNeedsFormat);
}

std::string EncodeGrants(const std::vector<allotment_grant>& grants) {
  return Encode(tagged_list<allotment_grant>{kGrantsFormat, grants});
}

result<std::vector<allotment_grant>> DecodeGrants(std::string_view bytes) {
  return DecodeTagged<allotment_grant>(bytes, kGrantsFormat);
}

std::string EncodeBusyAccounts(const std::vector<uint64_t>& accounts) {
  return Encode(tagged_list<uint64_t>{kBusyFormat, accounts});
}

result<std::vector<uint64_t>> DecodeBusyAccounts(std::string_view bytes) {
  return DecodeTagged<uint64_t>(bytes, kBusyFormat);
}

std::string EncodeGrantRecords(const std::vector<grant_record>& records) {
  return Encode(tagged_list<grant_record>{kRecordsFormat, records});
}

result<std::vector<grant_record>> DecodeGrantRecords(std::string_view bytes) {
  return DecodeTagged<grant_record>(bytes, kRecordsFormat);
}

}  // namespace shallotport
