#include "incarnation_file.h"

#include <algorithm>
#include <charconv>

#include "storage/file_system.h"

namespace shallotport {

namespace {

constexpr uint64_t kMostBytes = 32;

incarnation ReadIncarnation(const file_system& files, const std::string& path) {
  const result<std::string> text = files.Read(path, 0, kMostBytes);
  incarnation number = 0;
  if (IsOk(text)) {
    const std::string& digits = ValueOf(text);
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
  }
  return number;
}

status WriteIncarnation(file_system& files,
                        const std::string& folder,
                        const std::string& path,
                        incarnation number) {
  const std::string temporary = path + ".tmp";
  (void)files.Remove(temporary);
  result<std::unique_ptr<appendable_file>> file = files.Open(temporary);
  if (!IsOk(file)) {
    return ErrorOf(file);
  }
  status done = ValueOf(file)->Append(std::to_string(number));
  if (IsOk(done)) {
    done = ValueOf(file)->Sync();
  }
  if (IsOk(done)) {
    done = files.Rename(temporary, path);
  }
  return IsOk(done) ? files.SyncFolder(folder) : done;
}

}  // namespace

result<incarnation> NextIncarnation(const std::string& folder,
                                    const clock_source& clock) {
  const auto from_clock = static_cast<incarnation>(clock.WallNow());
  if (folder.empty()) {
    return from_clock;
  }
  file_system& files = PosixFileSystem();
  status made = files.CreateFolder(folder);
  if (!IsOk(made)) {
    return ErrorOf(made);
  }
  const std::string path = folder + "/incarnation";
  const incarnation next =
      std::max(from_clock, ReadIncarnation(files, path) + 1);
  const status written = WriteIncarnation(files, folder, path, next);
  if (!IsOk(written)) {
    return ErrorOf(written);
  }
  return next;
}

}  // namespace shallotport
