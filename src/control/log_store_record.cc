#include "control/log_store_record.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace cardamomroute::control {
namespace {

// Layout of a frame, little-endian:
//
//   header   magic u32, payload length u32, synced bytes u64, checksum of the
//            preceding fields u64
//   payload  kind u8, index u64, term u64, bytes
//   trailer  checksum of header and payload u64, end mark u8
//
// Magic and end mark contain no zero bytes, so the first and the last byte of a
// complete frame are never mistaken for unwritten ones.
constexpr uint32_t kMagic = 0x52'4c'43'd3;
constexpr char kEndMark = '\xa5';
constexpr size_t kHeaderBytes = 24;
constexpr size_t kPayloadFixedBytes = 17;
constexpr size_t kTrailerBytes = 9;
// Disks write whole sectors, so an incomplete write lacks whole sectors.
constexpr size_t kSectorBytes = 512;

template <typename Integer>
void Put(Integer value, std::string* out) {
  for (size_t i = 0; i < sizeof(Integer); ++i) {
    out->push_back(static_cast<char>(value >> (8 * i)));
  }
}

template <typename Integer>
Integer Get(std::string_view bytes) {
  Integer value = 0;
  for (size_t i = 0; i < sizeof(Integer); ++i) {
    value |= static_cast<Integer>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  return value;
}

uint64_t Checksum(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

void PutChecksum(size_t begin, std::string* out) {
  const std::string_view written = *out;
  Put(Checksum(written.substr(begin)), out);
}

struct frame_header {
  uint64_t payload_bytes = 0;
  uint64_t synced_bytes = 0;

  size_t FrameBytes() const {
    return kHeaderBytes + payload_bytes + kTrailerBytes;
  }
};

std::optional<frame_header> ReadHeader(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || Get<uint32_t>(bytes) != kMagic) {
    return std::nullopt;
  }
  if (Get<uint64_t>(bytes.substr(16)) != Checksum(bytes.substr(0, 16))) {
    return std::nullopt;
  }
  return frame_header{Get<uint32_t>(bytes.substr(4)),
                      Get<uint64_t>(bytes.substr(8))};
}

std::optional<log_record> ReadFrame(std::string_view frame) {
  const size_t checksummed_bytes = frame.size() - kTrailerBytes;
  if (frame.back() != kEndMark ||
      checksummed_bytes < kHeaderBytes + kPayloadFixedBytes ||
      Get<uint64_t>(frame.substr(checksummed_bytes)) !=
          Checksum(frame.substr(0, checksummed_bytes))) {
    return std::nullopt;
  }
  const std::string_view payload =
      frame.substr(kHeaderBytes, checksummed_bytes - kHeaderBytes);
  log_record record;
  record.kind = static_cast<record_kind>(payload[0]);
  record.index = Get<uint64_t>(payload.substr(1));
  record.term = Get<uint64_t>(payload.substr(9));
  record.bytes = payload.substr(kPayloadFixedBytes);
  return record;
}

// True if the part of any sector that lies in [begin, end) is all zeros.
bool HoldsUnwrittenSector(std::string_view content, size_t begin, size_t end) {
  while (begin < end) {
    const size_t next = (begin / kSectorBytes + 1) * kSectorBytes;
    const std::string_view part =
        content.substr(begin, std::min(next, end) - begin);
    if (part.find_first_not_of('\0') == std::string_view::npos) {
      return true;
    }
    begin = next;
  }
  return false;
}

// True if a record after `offset` was written once `offset` had been synced.
bool LaterRecordProvesSync(std::string_view content, size_t offset) {
  std::string magic;
  Put(kMagic, &magic);
  size_t at = content.find(magic, offset + 1);
  while (at != std::string_view::npos) {
    const std::optional<frame_header> header = ReadHeader(content.substr(at));
    if (header && header->synced_bytes > offset) {
      return true;
    }
    at = content.find(magic, at + 1);
  }
  return false;
}

bool IsIncompleteWrite(std::string_view content, size_t offset) {
  if (LaterRecordProvesSync(content, offset)) {
    return false;
  }
  const size_t remaining = content.size() - offset;
  if (remaining < kHeaderBytes) {
    return true;
  }
  const std::optional<frame_header> header = ReadHeader(content.substr(offset));
  const size_t expected_bytes = header ? header->FrameBytes() : kHeaderBytes;
  return remaining < expected_bytes ||
         HoldsUnwrittenSector(content, offset, offset + expected_bytes);
}

}  // namespace

void AppendRecord(const log_record& record, uint64_t synced_bytes,
                  std::string* out) {
  const size_t begin = out->size();
  Put(kMagic, out);
  Put(static_cast<uint32_t>(kPayloadFixedBytes + record.bytes.size()), out);
  Put(synced_bytes, out);
  PutChecksum(begin, out);
  Put(static_cast<uint8_t>(record.kind), out);
  Put(record.index, out);
  Put(record.term, out);
  out->append(record.bytes);
  PutChecksum(begin, out);
  out->push_back(kEndMark);
}

record_scan ScanRecords(std::string_view content) {
  record_scan scan;
  while (scan.valid_bytes < content.size()) {
    const std::string_view rest = content.substr(scan.valid_bytes);
    const std::optional<frame_header> header = ReadHeader(rest);
    std::optional<log_record> record;
    if (header && header->FrameBytes() <= rest.size()) {
      record = ReadFrame(rest.substr(0, header->FrameBytes()));
    }
    if (!record) {
      if (!IsIncompleteWrite(content, scan.valid_bytes)) {
        scan.damaged_offset = scan.valid_bytes;
      }
      return scan;
    }
    scan.records.push_back(*std::move(record));
    scan.valid_bytes += header->FrameBytes();
  }
  return scan;
}

}  // namespace cardamomroute::control
