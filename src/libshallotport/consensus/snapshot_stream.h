#ifndef SHALLOTPORT_CONSENSUS_SNAPSHOT_STREAM_H_
#define SHALLOTPORT_CONSENSUS_SNAPSHOT_STREAM_H_

#include <cstdint>
#include <streambuf>
#include <string>

#include "base/result.h"
#include "storage/snapshot_file_reader.h"

namespace shallotport {

class snapshot_file_writer;

// Output stream buffer that splits its bytes into snapshot file records of one
// kind.
class snapshot_output_buffer final : public std::streambuf {
 public:
  snapshot_output_buffer(snapshot_file_writer& file, uint8_t kind);

  // Writes the buffered rest; fails if any write failed.
  status Finish();

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* bytes, std::streamsize count) override;

 private:
  bool Flush();

  snapshot_file_writer& file_;
  const uint8_t kind_;
  std::string pending_;
  status outcome_ = success{};
};

// Input stream buffer over a sequence of consecutive snapshot file records of
// one kind.
class snapshot_input_buffer final : public std::streambuf {
 public:
  snapshot_input_buffer(snapshot_file_reader& reader, uint8_t kind);

  // Skips the unread rest and returns the first record of another kind.
  result<snapshot_record> TakeFollowing();

 protected:
  int_type underflow() override;

 private:
  snapshot_file_reader& reader_;
  const uint8_t kind_;
  result<snapshot_record> current_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_SNAPSHOT_STREAM_H_
