/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/segment.h"

#include "net/internal/filetools.h"
#include "net/internal/record.h"
#include "net/internal/socketaddress.h"

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <fcntl.h>

namespace saltvane::net {

namespace {

constexpr std::string_view SegmentPrefix = "segment-";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr size_t NumberDigits = 16;
constexpr int Hexadecimal = 16;
constexpr mode_t OwnerOnly = 0600;

std::string numberedName(std::string_view prefix, uint64_t number)
{
    std::string digits(NumberDigits, '0');
    for (size_t i = NumberDigits; i > 0; --i, number /= Hexadecimal)
        digits[i - 1] = "0123456789abcdef"[number % Hexadecimal];
    return std::string(prefix) + digits;
}

std::optional<uint64_t> numberIn(std::string_view prefix, std::string_view name)
{
    if (!name.starts_with(prefix) || name.size() != prefix.size() + NumberDigits)
        return std::nullopt;
    uint64_t number = 0;
    const char* end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + prefix.size(), end, number, Hexadecimal);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    return number;
}

IoError corruptionAt(const std::string& path, uint64_t offset, const std::string& message)
{
    return {.location = path + ":" + std::to_string(offset), .message = message};
}

} // namespace

std::string segmentName(uint64_t number) { return numberedName(SegmentPrefix, number); }
std::string snapshotName(LogIndex index) { return numberedName(SnapshotPrefix, index.value); }
std::optional<uint64_t> segmentNumberOf(std::string_view name) { return numberIn(SegmentPrefix, name); }
std::optional<uint64_t> snapshotIndexOf(std::string_view name) { return numberIn(SnapshotPrefix, name); }

Result<SegmentContent, IoError> readSegment(const std::string& path, uint64_t number, bool isLast,
    const std::function<std::optional<std::string>(const LogItem&)>& onItem)
{
    const auto file = readFile(path);
    if (!file)
        return file.error();
    const std::string_view bytes = file.value();
    RecordPosition position {.file = number};
    while (position.offset < bytes.size()) {
        const auto payload = recordAt(bytes, position);
        if (!payload) {
            // Segments are created atomically with their first record, so that one is never incomplete.
            if (!isLast || position.offset == 0 || hasRecordFrom(bytes, position))
                return corruptionAt(path, position.offset, "damaged record");
            return SegmentContent {.validBytes = position.offset, .tornBytes = bytes.size() - position.offset};
        }
        const auto items = decodeItems(*payload);
        if (!items)
            return corruptionAt(path, position.offset, "record of an unknown kind");
        const auto* start = items->empty() ? nullptr : std::get_if<SegmentStart>(&items->front());
        if (position.offset == 0 && (start == nullptr || start->segment != number))
            return corruptionAt(path, position.offset, "the segment does not begin with its start record");
        for (const LogItem& item : *items) {
            if (const auto error = onItem(item))
                return corruptionAt(path, position.offset, *error);
        }
        position.offset += RecordHeaderBytes + payload->size();
    }
    if (position.offset == 0)
        return corruptionAt(path, 0, "empty segment");
    return SegmentContent {.validBytes = position.offset};
}

Segment::Segment(IDiskCalls& disk, std::string path, uint64_t number, UniqueFd fd, uint64_t size)
    : disk_(disk)
    , path_(std::move(path))
    , number_(number)
    , fd_(std::move(fd))
    , size_(size)
{
}

Result<std::unique_ptr<Segment>, IoError> Segment::create(
    IDiskCalls& disk, const std::string& folder, const SegmentStart& start)
{
    const std::string record = encodeRecord({.file = start.segment}, encodeItems({start}));
    const std::string name = segmentName(start.segment);
    if (auto written = replaceFile(disk, folder, name, record); !written)
        return written.error();
    return open(disk, folder, start.segment, record.size());
}

Result<std::unique_ptr<Segment>, IoError> Segment::open(
    IDiskCalls& disk, const std::string& folder, uint64_t number, uint64_t size)
{
    std::string path = folder + "/" + segmentName(number);
    UniqueFd fd(::open(path.c_str(), O_WRONLY | O_CLOEXEC, OwnerOnly));
    if (!fd.isOpen())
        return lastError(path, "open");
    auto segment = std::make_unique<Segment>(disk, std::move(path), number, std::move(fd), size);
    segment->hasPartialWrite_ = true;
    if (auto discarded = segment->discardPartialWrite(); !discarded)
        return discarded.error();
    return segment;
}

Result<Success, IoError> Segment::discardPartialWrite()
{
    if (!hasPartialWrite_)
        return Success {};
    if (disk_.truncate(fd_.get(), static_cast<off_t>(size_)) != 0)
        return lastError(path_, "ftruncate");
    if (disk_.syncData(fd_.get()) != 0)
        return lastError(path_, "fdatasync");
    hasPartialWrite_ = false;
    return Success {};
}

Result<Success, IoError> Segment::append(std::string_view payload)
{
    if (payload.size() > MaxRecordPayloadBytes)
        return IoError {.location = path_, .message = "write too large", .code = EFBIG};
    if (auto discarded = discardPartialWrite(); !discarded)
        return discarded;
    const std::string record = encodeRecord({.file = number_, .offset = size_}, payload);
    hasPartialWrite_ = true;
    if (auto written = writeAll(disk_, fd_.get(), record, static_cast<off_t>(size_), path_); !written) {
        (void)discardPartialWrite(); // If it fails, the next append() retries it.
        return written;
    }
    if (disk_.syncData(fd_.get()) != 0) {
        const IoError error = lastError(path_, "fdatasync");
        (void)discardPartialWrite();
        return error;
    }
    size_ += record.size();
    hasPartialWrite_ = false;
    return Success {};
}

} // namespace saltvane::net
