#include "poison/crash_messages.h"

#include "base/codec.h"

namespace shallotport {

namespace {

// crash_evidence as it is sent: encoded records.
struct evidence_frame {
  std::vector<std::string> crashes;
  std::vector<std::string> whole_answers;
  std::vector<std::string> service_answers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(crashes, whole_answers, service_answers);
  }
};

template <typename Record>
std::vector<std::string> EncodeRecords(const std::vector<Record>& records) {
  std::vector<std::string> encoded;
  encoded.reserve(records.size());
  for (const Record& each : records) {
    encoded.push_back(Encode(each));
  }
  return encoded;
}

template <typename Record>
status DecodeRecords(const std::vector<std::string>& encoded,
                     std::vector<Record>& records) {
  for (const std::string& each : encoded) {
    auto record = DecodeGrowing<Record>(each);
    if (!IsOk(record)) {
      return ErrorOf(record);
    }
    records.push_back(std::move(ValueOf(record)));
  }
  return success{};
}

}  // namespace

std::string EncodeEvidence(const crash_evidence& evidence) {
  return Encode(evidence_frame{EncodeRecords(evidence.crashes),
                               EncodeRecords(evidence.whole_answers),
                               EncodeRecords(evidence.service_answers)});
}

result<crash_evidence> DecodeEvidence(std::string_view bytes) {
  const auto frame = DecodeGrowing<evidence_frame>(bytes);
  if (!IsOk(frame)) {
    return ErrorOf(frame);
  }
  crash_evidence evidence;
  if (status read = DecodeRecords(ValueOf(frame).crashes, evidence.crashes);
      !IsOk(read)) {
    return ErrorOf(read);
  }
  if (status read =
          DecodeRecords(ValueOf(frame).whole_answers, evidence.whole_answers);
      !IsOk(read)) {
    return ErrorOf(read);
  }
  if (status read = DecodeRecords(ValueOf(frame).service_answers,
                                  evidence.service_answers);
      !IsOk(read)) {
    return ErrorOf(read);
  }
  return evidence;
}

}  // namespace shallotport
