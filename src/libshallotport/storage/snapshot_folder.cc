#include "storage/snapshot_folder.h"

#include <charconv>
#include <optional>
#include <utility>

#include "storage/file_system.h"

namespace shallotport {

namespace {

constexpr std::string_view kPrefix = "snapshot-";
constexpr std::string_view kSuffix = ".snap";
constexpr std::string_view kTemporarySuffix = ".tmp";

std::optional<uint64_t> IndexOfName(std::string_view name) {
  if (!name.starts_with(kPrefix) || !name.ends_with(kSuffix)) {
    return std::nullopt;
  }
  name.remove_prefix(kPrefix.size());
  name.remove_suffix(kSuffix.size());
  uint64_t index = 0;
  const auto parsed =
      std::from_chars(name.data(), name.data() + name.size(), index);
  if (parsed.ec != std::errc() || parsed.ptr != name.data() + name.size()) {
    return std::nullopt;
  }
  return index;
}

}  // namespace

snapshot_folder::snapshot_folder(file_system& files, std::string folder)
    : files_(files), folder_(std::move(folder)) {}

std::string snapshot_folder::PathOf(uint64_t index) const {
  std::string digits = std::to_string(index);
  digits.insert(0, 20 - digits.size(), '0');
  return folder_ + "/" + std::string(kPrefix) + digits + std::string(kSuffix);
}

std::string snapshot_folder::TemporaryPathOf(uint64_t index,
                                             std::string_view purpose) const {
  return folder_ + "/" + std::string(kPrefix) + std::to_string(index) + "-" +
         std::string(purpose) + std::string(kTemporarySuffix);
}

result<std::vector<uint64_t>> snapshot_folder::List() const {
  const auto names = files_.List(folder_);
  if (!IsOk(names)) {
    return ErrorOf(names);
  }
  std::vector<uint64_t> indices;
  for (const std::string& name : ValueOf(names)) {
    if (const auto index = IndexOfName(name)) {
      indices.push_back(*index);
    }
  }
  return indices;
}

status snapshot_folder::RemoveTemporaries() const {
  const auto names = files_.List(folder_);
  if (!IsOk(names)) {
    return ErrorOf(names);
  }
  for (const std::string& name : ValueOf(names)) {
    if (!name.ends_with(kTemporarySuffix)) {
      continue;
    }
    if (status removed = files_.Remove(folder_ + "/" + name); !IsOk(removed)) {
      return removed;
    }
  }
  return success{};
}

status snapshot_folder::RemoveBefore(uint64_t index) const {
  const auto indices = List();
  if (!IsOk(indices)) {
    return ErrorOf(indices);
  }
  for (const uint64_t each : ValueOf(indices)) {
    if (each >= index) {
      break;
    }
    if (status removed = files_.Remove(PathOf(each)); !IsOk(removed)) {
      return removed;
    }
  }
  return success{};
}

status snapshot_folder::Publish(const std::string& temporary,
                                uint64_t index) const {
  if (status renamed = files_.Rename(temporary, PathOf(index));
      !IsOk(renamed)) {
    return renamed;
  }
  return files_.SyncFolder(folder_);
}

}  // namespace shallotport
