/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/datafolder.h"

#include "net/internal/filetools.h"
#include "net/internal/linkhello.h"
#include "net/internal/record.h"
#include "net/internal/socketaddress.h"
#include "wire/framecodec.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sodium.h>
#include <sys/file.h>

/// The steps of DataFolder::open(). Each fails on data that it cannot verify.
namespace saltvane::net {

namespace {

constexpr std::string_view LockName = "lock";
constexpr std::string_view FormatName = "format";
constexpr std::string_view ReplicaName = "replica";
constexpr std::string_view StartsName = "starts";
constexpr std::string_view FormatText = "saltvane data 1\n";
constexpr RecordPosition ReplicaPosition {.file = 1};
constexpr RecordPosition StartsPosition {.file = 2};
constexpr size_t ReplicaIdBytes = 16;
constexpr size_t CountBytes = 8;
constexpr uint64_t FirstSegment = 1;
constexpr uint64_t MaxEmptySegmentBytes = 256; ///< More than the size of a first segment without entries.
constexpr mode_t OwnerOnly = 0600;

IoError refusal(const std::string& location, const std::string& message)
{
    return {.location = location, .message = message};
}

std::string freshReplicaId()
{
    std::array<unsigned char, ReplicaIdBytes> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    std::string hex(ReplicaIdBytes * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    hex.pop_back();
    return hex;
}

/// The payload of a file that consists of one record.
Result<std::string, IoError> readRecordFile(const std::string& path, const RecordPosition& position)
{
    const auto file = readFile(path);
    if (!file)
        return file.error();
    const auto payload = recordAt(file.value(), position);
    if (!payload || RecordHeaderBytes + payload->size() != file.value().size())
        return refusal(path + ":0", "damaged");
    return std::string(*payload);
}

} // namespace

Result<Success, IoError> DataFolder::open()
{
    constexpr std::array<Step, 12> Steps {&DataFolder::makeFolder, &DataFolder::lock, &DataFolder::listFiles,
        &DataFolder::checkFormat, &DataFolder::readReplica, &DataFolder::readSnapshot, &DataFolder::checkLastSegment,
        &DataFolder::readSegments, &DataFolder::reconcileSnapshot, &DataFolder::removeObsoleteAtStart,
        &DataFolder::incrementStartCount, &DataFolder::readSoftState};
    for (const Step step : Steps) {
        if (auto done = (this->*step)(); !done)
            return done;
    }
    return Success {};
}

Result<Success, IoError> DataFolder::makeFolder()
{
    std::error_code error;
    std::vector<std::filesystem::path> created;
    for (std::filesystem::path path = path_; !path.empty() && !std::filesystem::exists(path, error);
         path = path.parent_path())
        created.push_back(path);
    std::filesystem::create_directories(path_, error);
    if (error)
        return IoError {.location = path_, .message = "mkdir: " + error.message(), .code = error.value()};
    for (const std::filesystem::path& path : created) {
        const std::filesystem::path parent = path.has_parent_path() ? path.parent_path() : ".";
        if (disk_.syncFolder(parent) != 0)
            return lastError(parent, "fsync");
    }
    return Success {};
}

Result<Success, IoError> DataFolder::lock()
{
    const std::string path = pathOf(std::string(LockName));
    lock_.reset(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, OwnerOnly));
    if (!lock_.isOpen())
        return lastError(path, "open");
    if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
        return IoError {.location = path, .message = "in use by another process", .code = errno};
    return Success {};
}

Result<Success, IoError> DataFolder::listFiles()
{
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(path_, error)) {
        const std::string name = entry.path().filename();
        if (name.ends_with(UnfinishedSuffix))
            (void)disk_.remove(entry.path());
        else
            names_.push_back(name);
    }
    if (error)
        return IoError {.location = path_, .message = "readdir: " + error.message(), .code = error.value()};
    // The process before may have ended between the renaming of a file and the sync of the folder.
    if (disk_.syncFolder(path_) != 0)
        return lastError(path_, "fsync");
    std::sort(names_.begin(), names_.end());
    for (const std::string& name : names_) {
        if (const auto number = segmentNumberOf(name))
            segments_.emplace(*number, LogIndex {});
        if (const auto index = snapshotIndexOf(name))
            snapshots_.push_back(*index);
    }
    hasFormat_ = std::find(names_.begin(), names_.end(), FormatName) != names_.end();
    return Success {};
}

Result<Success, IoError> DataFolder::checkFormat()
{
    if (!hasFormat_)
        return create();
    const std::string path = pathOf(std::string(FormatName));
    const auto text = readFile(path);
    if (!text)
        return text.error();
    if (text.value() != FormatText)
        return refusal(path, "another format: \"" + text.value().substr(0, FormatText.size()) + "\"");
    if (segments_.empty())
        return refusal(path_, "no segment");
    return Success {};
}

Result<Success, IoError> DataFolder::checkUnformatted() const
{
    // An interrupted creation may have left these files. Any other file is not ours: never overwrite it.
    const std::array<std::string, 4> known {
        std::string(LockName), std::string(ReplicaName), std::string(StartsName), segmentName(FirstSegment)};
    for (const std::string& name : names_) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            return refusal(pathOf(name), "the folder has no format file, but holds files");
    }
    std::error_code error;
    const bool hasSegment = !segments_.empty();
    if (hasSegment && std::filesystem::file_size(pathOf(segmentName(FirstSegment)), error) > MaxEmptySegmentBytes)
        return refusal(path_, "the folder has no format file, but holds records");
    return Success {};
}

Result<Success, IoError> DataFolder::create()
{
    if (auto checked = checkUnformatted(); !checked)
        return checked;
    const std::string replica = encodeRecord(ReplicaPosition, freshReplicaId());
    if (auto done = replaceFile(disk_, path_, std::string(ReplicaName), replica); !done)
        return done;
    const std::string starts = encodeRecord(StartsPosition, encodeLinkInteger(0, CountBytes));
    if (auto done = replaceFile(disk_, path_, std::string(StartsName), starts); !done)
        return done;
    if (auto segment = Segment::create(disk_, path_, {.segment = FirstSegment}); !segment)
        return segment.error();
    segments_ = {{FirstSegment, LogIndex {}}};
    // Written last: it makes the folder valid.
    return replaceFile(disk_, path_, std::string(FormatName), FormatText);
}

Result<Success, IoError> DataFolder::readReplica()
{
    const std::string path = pathOf(std::string(ReplicaName));
    const auto replica = readRecordFile(path, ReplicaPosition);
    if (!replica)
        return replica.error();
    if (replica.value().size() != ReplicaIdBytes * 2)
        return refusal(path + ":0", "damaged");
    recovered_.replica = model::ReplicaId(replica.value());
    return Success {};
}

Result<Success, IoError> DataFolder::readSnapshot()
{
    if (snapshots_.empty())
        return Success {};
    recovered_.snapshotIndex = {*std::max_element(snapshots_.begin(), snapshots_.end())};
    const std::string path = pathOf(snapshotName(recovered_.snapshotIndex));
    auto payload = readRecordFile(path, {.file = recovered_.snapshotIndex.value});
    if (!payload)
        return payload.error();
    if (payload.value().size() < CountBytes)
        return refusal(path + ":0", "damaged");
    recovered_.snapshotTerm = {decodeLinkInteger(std::string_view(payload.value()).substr(0, CountBytes))};
    recovered_.snapshot = payload.value().substr(CountBytes);
    return Success {};
}

void DataFolder::apply(const LogItem& item)
{
    // The payloads are kept in memory by the control replica.
    const auto* entry = std::get_if<model::LogEntry>(&item);
    if (entry == nullptr) {
        (void)state_.apply(item);
        return;
    }
    (void)state_.apply(model::LogEntry {.index = entry->index, .term = entry->term});
    LogIndex& highest = segments_[segment_->number()];
    highest = std::max(highest, entry->index);
}

Result<Success, IoError> DataFolder::checkLastSegment()
{
    if (std::find(names_.begin(), names_.end(), LastSegmentName) == names_.end())
        return Success {};
    const auto number = readRecordFile(pathOf(std::string(LastSegmentName)), LastSegmentPosition);
    if (!number)
        return number.error();
    const uint64_t last = decodeLinkInteger(number.value());
    if (segments_.rbegin()->first < last)
        return refusal(pathOf(segmentName(last)), "the segment is missing");
    return Success {};
}

Result<Success, IoError> DataFolder::readSegments()
{
    const uint64_t last = segments_.rbegin()->first;
    for (auto& [number, highest] : segments_) {
        LogIndex& highestHere = highest;
        const auto content = readSegment(pathOf(segmentName(number)), number, number == last, [&](const LogItem& item) {
            if (const auto* entry = std::get_if<model::LogEntry>(&item))
                highestHere = std::max(highestHere, entry->index);
            return state_.apply(item);
        });
        if (!content)
            return content.error();
        if (number == last) {
            voidSegmentsBeforeGap();
            return openLast(number, content.value());
        }
    }
    return Success {};
}

void DataFolder::voidSegmentsBeforeGap()
{
    for (auto& [number, highest] : segments_) {
        if (number < state_.firstSegment())
            highest = LogIndex {};
    }
}

Result<Success, IoError> DataFolder::openLast(uint64_t number, const SegmentContent& content)
{
    if (content.tornBytes > 0) {
        warnings_.push_back(pathOf(segmentName(number)) + ":" + std::to_string(content.validBytes) + ": cut off "
            + std::to_string(content.tornBytes) + " bytes of a write that was not finished");
    }
    auto segment = Segment::open(disk_, path_, number, content.validBytes);
    if (!segment)
        return segment.error();
    segment_ = std::move(segment.value());
    return Success {};
}

Result<Success, IoError> DataFolder::reconcileSnapshot()
{
    const SnapshotMark mark {.index = recovered_.snapshotIndex, .term = recovered_.snapshotTerm};
    const SnapshotMark before = state_.base();
    if (const auto error = state_.finish(mark))
        return refusal(path_, *error);
    if (before.index < mark.index) {
        // The process stopped after writing the snapshot and before its mark. Without the mark, later records would
        // refer to entries that precede the snapshot.
        if (auto marked = segment_->append(encodeItems({mark})); !marked)
            return marked;
    }
    recovered_.isNewDisk = state_.isEmpty() && snapshots_.empty();
    recovered_.hardState = state_.hardState();
    recovered_.entries = state_.releaseEntries();
    return Success {};
}

Result<Success, IoError> DataFolder::removeObsoleteAtStart()
{
    const size_t removed = removeObsolete(recovered_.snapshotIndex);
    if (removed > 0) {
        warnings_.push_back(path_ + ": removed " + std::to_string(removed)
            + " files that came back or were left, since the snapshot of entry "
            + std::to_string(recovered_.snapshotIndex.value) + " replaces them");
    }
    return Success {};
}

Result<Success, IoError> DataFolder::readSoftState()
{
    if (std::find(names_.begin(), names_.end(), SoftStateName) == names_.end())
        return Success {};
    // The soft state is optional: if it is unreadable, start without it.
    const std::string path = pathOf(std::string(SoftStateName));
    const Result<std::string, IoError> bytes = readRecordFile(path, SoftStatePosition);
    if (!bytes) {
        warnings_.push_back(path + ": soft state left out: " + bytes.error().message);
        return Success {};
    }
    wire::FrameReader reader;
    reader.append(bytes.value());
    auto message = reader.next();
    auto* targets = message && message.value() ? std::get_if<model::TargetReport>(&*message.value()) : nullptr;
    if (targets == nullptr) {
        warnings_.push_back(path + ": soft state left out: of another version");
        return Success {};
    }
    softState_.targets = std::move(*targets);
    // Earlier versions stored only the targets.
    auto further = reader.next();
    auto* suspects = further && further.value() ? std::get_if<model::SuspectReport>(&*further.value()) : nullptr;
    if (suspects != nullptr)
        softState_.suspects = std::move(*suspects);
    return Success {};
}

Result<Success, IoError> DataFolder::incrementStartCount()
{
    const std::string path = pathOf(std::string(StartsName));
    const auto counted = readRecordFile(path, StartsPosition);
    if (!counted)
        return counted.error();
    startCount_ = decodeLinkInteger(counted.value()) + 1;
    const std::string starts = encodeRecord(StartsPosition, encodeLinkInteger(startCount_, CountBytes));
    return replaceFile(disk_, path_, std::string(StartsName), starts);
}

} // namespace saltvane::net
