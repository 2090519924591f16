/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/bundletable.h"

#include "control/icontrolreplica.h"
#include "control/internal/fieldreader.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace saltvane::control {

namespace {

using Json = nlohmann::json;

constexpr size_t MaxRecords = 1024;
/// Superseded bundles whose content is retained for a revert.
constexpr size_t MaxRevertibleContents = 32;
constexpr size_t MaxOpenProposals = 64;
constexpr size_t RecordFieldCount = 13;

std::string nameOf(BundleVersion version) { return "version " + std::to_string(version.value); }

ControlError errorOf(ControlErrorKind kind, std::string message)
{
    return {.kind = kind, .message = std::move(message), .leader = {}, .findings = {}};
}

ControlError conflictWith(const BundleRecord& first)
{
    return errorOf(ControlErrorKind::Conflict,
        nameOf(first.version) + " was first proposed by " + first.author.value() + " with digest " + first.digest);
}

Json toJson(const BundleRecord& record)
{
    return {{"version", record.version.value}, {"state", static_cast<uint64_t>(record.state)},
        {"author", record.author.value()}, {"approver", record.approver.value()}, {"digest", record.digest},
        {"content", record.content}, {"proposedTerm", record.proposed.term.value},
        {"proposedIndex", record.proposed.index.value}, {"approvedTerm", record.approved.term.value},
        {"approvedIndex", record.approved.index.value}, {"proposedAtUnixMs", record.proposedAtUnixMs},
        {"isRevert", record.revertOf.has_value()}, {"revertOf", record.revertOf.value_or(BundleVersion {}).value}};
}

std::optional<BundleRecord> recordFromJson(const Json& json)
{
    BundleRecord record;
    uint64_t state = 0;
    bool isRevert = false;
    BundleVersion revertOf;
    FieldReader reader(json, RecordFieldCount);
    reader.read("version", record.version).read("state", state).read("author", record.author);
    reader.read("approver", record.approver).read("digest", record.digest).read("content", record.content);
    reader.read("proposedTerm", record.proposed.term).read("proposedIndex", record.proposed.index);
    reader.read("approvedTerm", record.approved.term).read("approvedIndex", record.approved.index);
    reader.read("proposedAtUnixMs", record.proposedAtUnixMs);
    reader.read("isRevert", isRevert).read("revertOf", revertOf);
    if (!reader.isOk() || state > static_cast<uint64_t>(BundleState::Superseded))
        return std::nullopt;
    record.state = static_cast<BundleState>(state);
    if (isRevert)
        record.revertOf = revertOf;
    return record;
}

} // namespace

const BundleRecord* BundleTable::find(BundleVersion version) const
{
    const auto found = records_.find(version);
    return found == records_.end() ? nullptr : &found->second;
}

const BundleRecord* BundleTable::inForce() const { return inForce_ ? find(*inForce_) : nullptr; }

std::vector<const BundleRecord*> BundleTable::all() const
{
    std::vector<const BundleRecord*> records;
    for (const auto& [version, record] : records_)
        records.push_back(&record);
    return records;
}

std::optional<BundleOutcome> BundleTable::answerForNew(BundleVersion version) const
{
    if (inForce_ && version < *inForce_)
        return errorOf(ControlErrorKind::Conflict, nameOf(*inForce_) + " is in force; a new version must be higher");
    const auto isOpen = [this](const auto& item) {
        return item.second.state == BundleState::Proposed && (!inForce_ || item.first > *inForce_);
    };
    if (static_cast<size_t>(std::ranges::count_if(records_, isOpen)) >= MaxOpenProposals)
        return errorOf(ControlErrorKind::Busy, "too many proposals are waiting for approval");
    return std::nullopt;
}

std::optional<BundleOutcome> BundleTable::answerFor(const ProposeBundle& command) const
{
    const BundleRecord* known = find(command.version);
    if (!known)
        return answerForNew(command.version);
    if (known->revertOf || known->digest != contentDigest(command.content))
        return conflictWith(*known);
    return *known;
}

std::optional<BundleOutcome> BundleTable::answerFor(const ApproveBundle& command) const
{
    const BundleRecord* known = find(command.version);
    if (!known)
        return errorOf(ControlErrorKind::NotFound, nameOf(command.version) + " is unknown");
    if (known->digest != command.digest)
        return conflictWith(*known);
    if (known->author == command.approver)
        return errorOf(
            ControlErrorKind::SelfApproval, "the author " + known->author.value() + " cannot approve their own bundle");
    if (known->state != BundleState::Proposed)
        return *known;
    if (inForce_ && command.version < *inForce_)
        return errorOf(ControlErrorKind::Conflict, nameOf(*inForce_) + " is already in force");
    return std::nullopt;
}

std::optional<BundleOutcome> BundleTable::answerFor(const RevertBundle& command) const
{
    const BundleRecord* known = find(command.version);
    if (known && known->revertOf == command.to)
        return *known;
    if (known)
        return conflictWith(*known);
    const BundleRecord* target = find(command.to);
    if (!target || target->state == BundleState::Proposed)
        return errorOf(ControlErrorKind::NotFound, nameOf(command.to) + " was never in force or is no longer stored");
    if (target->content.empty())
        return errorOf(ControlErrorKind::NotFound, "the content of " + nameOf(command.to) + " is no longer stored");
    return answerForNew(command.version);
}

BundleOutcome BundleTable::apply(const ProposeBundle& command, LogPosition position)
{
    if (const std::optional<BundleOutcome> answer = answerFor(command))
        return *answer;
    BundleRecord record {.version = command.version,
        .author = command.author,
        .approver = {},
        .digest = contentDigest(command.content),
        .content = command.content,
        .proposed = position,
        .approved = {},
        .proposedAtUnixMs = command.proposedAtUnixMs,
        .revertOf = {}};
    records_[command.version] = record;
    return record;
}

BundleOutcome BundleTable::apply(const RevertBundle& command, LogPosition position)
{
    if (const std::optional<BundleOutcome> answer = answerFor(command))
        return *answer;
    const BundleRecord& target = records_.at(command.to);
    BundleRecord record {.version = command.version,
        .author = command.author,
        .approver = {},
        .digest = target.digest,
        .content = target.content,
        .proposed = position,
        .approved = {},
        .proposedAtUnixMs = target.proposedAtUnixMs,
        .revertOf = command.to};
    records_[command.version] = record;
    return record;
}

BundleOutcome BundleTable::apply(const ApproveBundle& command, LogPosition position)
{
    if (const std::optional<BundleOutcome> answer = answerFor(command))
        return *answer;
    if (inForce_)
        records_.at(*inForce_).state = BundleState::Superseded;
    BundleRecord& record = records_.at(command.version);
    record.state = BundleState::InForce;
    record.approver = command.approver;
    record.approved = position;
    inForce_ = command.version;
    BundleRecord answer = record;
    prune();
    return answer;
}

void BundleTable::prune()
{
    pruneContents();
    while (records_.size() > MaxRecords && records_.begin()->first < *inForce_)
        records_.erase(records_.begin());
}

void BundleTable::pruneContents()
{
    std::vector<BundleRecord*> superseded;
    for (auto& [version, record] : records_) {
        if (record.state == BundleState::Superseded && !record.content.empty())
            superseded.push_back(&record);
        else if (record.state == BundleState::Proposed && version < *inForce_)
            record.content.clear(); // Can no longer come into force.
    }
    std::ranges::sort(superseded, std::greater {}, &BundleRecord::approved);
    for (size_t row = MaxRevertibleContents; row < superseded.size(); ++row)
        superseded[row]->content.clear();
}

Json BundleTable::toJson() const
{
    Json array = Json::array();
    for (const auto& [version, record] : records_)
        array.push_back(control::toJson(record));
    return array;
}

std::optional<BundleTable> BundleTable::fromJson(const Json& array)
{
    BundleTable table;
    for (const Json& item : array) {
        std::optional<BundleRecord> record = recordFromJson(item);
        if (!record || table.records_.contains(record->version))
            return std::nullopt;
        if (record->state == BundleState::InForce && table.inForce_)
            return std::nullopt;
        if (record->state == BundleState::InForce)
            table.inForce_ = record->version;
        const BundleVersion version = record->version;
        table.records_[version] = *std::move(record);
    }
    return table;
}

} // namespace saltvane::control
