#include "fleet/known_state_file.h"

#include <cstring>
#include <utility>

#include "base/codec.h"
#include "base/digest.h"
#include "storage/file_system.h"

namespace shallotport {

namespace {

constexpr size_t kChecksumBytes = sizeof(uint64_t);
constexpr uint64_t kMaxFileBytes = 16u << 20;
constexpr const char* kReportsFile = "known";
constexpr const char* kDocumentFile = "known-configuration";

}  // namespace

known_state_file::known_state_file(file_system& files, std::string folder)
    : files_(files), folder_(std::move(folder)) {}

status known_state_file::SaveReports(std::vector<endpoint_report> reports) {
  return Write(kReportsFile, Encode(known_state{{}, std::move(reports)}));
}

status known_state_file::SaveDocument(const configuration_document& document) {
  return Write(kDocumentFile, Encode(document));
}

status known_state_file::Write(const std::string& name, std::string_view body) {
  const uint64_t checksum = HashOf(body);
  std::string bytes(kChecksumBytes, '\0');
  std::memcpy(bytes.data(), &checksum, kChecksumBytes);
  bytes += body;
  const std::string path = folder_ + "/" + name;
  const std::string temporary_path = path + ".new";
  if (IsOk(files_.SizeOf(temporary_path))) {
    files_.Remove(temporary_path);
  }
  auto file = files_.Open(temporary_path);
  if (!IsOk(file)) {
    return ErrorOf(file);
  }
  if (status written = ValueOf(file)->Append(bytes); !IsOk(written)) {
    return written;
  }
  if (status synced = ValueOf(file)->Sync(); !IsOk(synced)) {
    return synced;
  }
  ValueOf(file).reset();
  if (status renamed = files_.Rename(temporary_path, path); !IsOk(renamed)) {
    return renamed;
  }
  return files_.SyncFolder(folder_);
}

std::string known_state_file::Read(const std::string& name) const {
  const auto bytes = files_.Read(folder_ + "/" + name, 0, kMaxFileBytes);
  if (!IsOk(bytes) || ValueOf(bytes).size() < kChecksumBytes) {
    return {};
  }
  uint64_t checksum = 0;
  std::memcpy(&checksum, ValueOf(bytes).data(), kChecksumBytes);
  std::string body = ValueOf(bytes).substr(kChecksumBytes);
  return HashOf(body) == checksum ? body : std::string();  // Torn.
}

known_state known_state_file::Load() const {
  // Earlier builds keep the configuration in the file of the reports.
  auto read = Decode<known_state>(Read(kReportsFile));
  known_state known = IsOk(read) ? std::move(ValueOf(read)) : known_state();
  auto document = Decode<configuration_document>(Read(kDocumentFile));
  if (IsOk(document) && ValueOf(document).version >= known.document.version) {
    known.document = std::move(ValueOf(document));
  }
  return known;
}

}  // namespace shallotport
