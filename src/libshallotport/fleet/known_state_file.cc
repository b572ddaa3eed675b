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

}  // namespace

known_state_file::known_state_file(file_system& files, std::string folder)
    : files_(files), folder_(std::move(folder)) {}

status known_state_file::Save(const known_state& state) {
  const std::string body = Encode(state);
  const uint64_t checksum = HashOf(body);
  std::string bytes(kChecksumBytes, '\0');
  std::memcpy(bytes.data(), &checksum, kChecksumBytes);
  bytes += body;
  const std::string path = folder_ + "/known";
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

known_state known_state_file::Load() const {
  const std::string path = folder_ + "/known";
  const auto bytes = files_.Read(path, 0, kMaxFileBytes);
  if (!IsOk(bytes) || ValueOf(bytes).size() < kChecksumBytes) {
    return {};
  }
  uint64_t checksum = 0;
  std::memcpy(&checksum, ValueOf(bytes).data(), kChecksumBytes);
  const std::string_view body =
      std::string_view(ValueOf(bytes)).substr(kChecksumBytes);
  if (HashOf(body) != checksum) {
    return {};  // Torn by a power loss.
  }
  auto decoded = Decode<known_state>(body);
  return IsOk(decoded) ? std::move(ValueOf(decoded)) : known_state();
}

}  // namespace shallotport
