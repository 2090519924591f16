/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/controlmessagecodec.h"

namespace saltvane::wire {

namespace {

Offset<fbs::LogEntry> encodeLogEntry(Builder& builder, const model::LogEntry& entry)
{
    const auto payload = encodeBytes(builder, entry.payload);
    return fbs::CreateLogEntry(builder, entry.index.value, entry.term.value, payload);
}

model::LogEntry decodeLogEntry(FieldReader& reader, const fbs::LogEntry& entry)
{
    return {
        .index = {entry.index()},
        .term = {entry.term()},
        .payload = reader.bytes(entry.payload(), "LogEntry.payload"),
    };
}

} // namespace

Offset<fbs::VoteRequest> encode(Builder& builder, const model::VoteRequest& message)
{
    const auto candidate = encodeName(builder, message.candidate);
    return fbs::CreateVoteRequest(builder, message.term.value, candidate, message.lastIndex.value,
        message.lastTerm.value, message.isPreVote, message.voterStart);
}

model::VoteRequest decode(FieldReader& reader, const fbs::VoteRequest& message)
{
    return {
        .term = {message.term()},
        .candidate = reader.name<model::ReplicaId>(message.candidate(), "VoteRequest.candidate"),
        .lastIndex = {message.last_index()},
        .lastTerm = {message.last_term()},
        .isPreVote = message.is_pre_vote(),
        .voterStart = message.voter_start(),
    };
}

Offset<fbs::StartNotice> encode(Builder& builder, const model::StartNotice& message)
{
    const auto replica = encodeName(builder, message.replica);
    return fbs::CreateStartNotice(
        builder, replica, message.start, message.lastIndex.value, message.lastTerm.value, message.isAnswer);
}

model::StartNotice decode(FieldReader& reader, const fbs::StartNotice& message)
{
    return {
        .replica = reader.name<model::ReplicaId>(message.replica(), "StartNotice.replica"),
        .start = message.start(),
        .lastIndex = {message.last_index()},
        .lastTerm = {message.last_term()},
        .isAnswer = message.is_answer(),
    };
}

Offset<fbs::VoteReply> encode(Builder& builder, const model::VoteReply& message)
{
    const auto voter = encodeName(builder, message.voter);
    return fbs::CreateVoteReply(builder, message.term.value, voter, message.isGranted, message.isPreVote);
}

model::VoteReply decode(FieldReader& reader, const fbs::VoteReply& message)
{
    return {
        .term = {message.term()},
        .voter = reader.name<model::ReplicaId>(message.voter(), "VoteReply.voter"),
        .isGranted = message.is_granted(),
        .isPreVote = message.is_pre_vote(),
    };
}

Offset<fbs::AppendRequest> encode(Builder& builder, const model::AppendRequest& message)
{
    const auto leader = encodeName(builder, message.leader);
    const auto entries = encodeTables<fbs::LogEntry>(builder, message.entries, encodeLogEntry);
    return fbs::CreateAppendRequest(builder, message.term.value, leader, message.previousIndex.value,
        message.previousTerm.value, message.commit.value, message.round, entries, encodeDuration(message.proofAge),
        message.heardRound);
}

model::AppendRequest decode(FieldReader& reader, const fbs::AppendRequest& message)
{
    return {
        .term = {message.term()},
        .leader = reader.name<model::ReplicaId>(message.leader(), "AppendRequest.leader"),
        .previousIndex = {message.previous_index()},
        .previousTerm = {message.previous_term()},
        .commit = {message.commit()},
        .round = message.round(),
        .entries = decodeTables<model::LogEntry>(reader, message.entries(), "AppendRequest.entries", decodeLogEntry),
        .proofAge = reader.duration(message.proof_age(), "AppendRequest.proofAge"),
        .heardRound = message.heard_round(),
    };
}

Offset<fbs::AppendReply> encode(Builder& builder, const model::AppendReply& message)
{
    const auto replica = encodeName(builder, message.replica);
    return fbs::CreateAppendReply(
        builder, message.term.value, replica, message.isAccepted, message.match.value, message.round);
}

model::AppendReply decode(FieldReader& reader, const fbs::AppendReply& message)
{
    return {
        .term = {message.term()},
        .replica = reader.name<model::ReplicaId>(message.replica(), "AppendReply.replica"),
        .isAccepted = message.is_accepted(),
        .match = {message.match()},
        .round = message.round(),
    };
}

Offset<fbs::SnapshotChunk> encode(Builder& builder, const model::SnapshotChunk& message)
{
    const auto leader = encodeName(builder, message.leader);
    const auto bytes = encodeBytes(builder, message.bytes);
    return fbs::CreateSnapshotChunk(builder, message.term.value, leader, message.lastIndex.value,
        message.lastTerm.value, message.offset, message.totalSize, message.checksum, bytes);
}

model::SnapshotChunk decode(FieldReader& reader, const fbs::SnapshotChunk& message)
{
    model::SnapshotChunk decoded {
        .term = {message.term()},
        .leader = reader.name<model::ReplicaId>(message.leader(), "SnapshotChunk.leader"),
        .lastIndex = {message.last_index()},
        .lastTerm = {message.last_term()},
        .offset = message.offset(),
        .totalSize = message.total_size(),
        .checksum = message.checksum(),
        .bytes = reader.bytes(message.bytes(), "SnapshotChunk.bytes"),
    };
    reader.require(decoded.offset <= decoded.totalSize, "SnapshotChunk.offset");
    reader.require(decoded.bytes.size() <= decoded.totalSize - decoded.offset, "SnapshotChunk.bytes");
    return decoded;
}

Offset<fbs::SnapshotReply> encode(Builder& builder, const model::SnapshotReply& message)
{
    const auto replica = encodeName(builder, message.replica);
    return fbs::CreateSnapshotReply(builder, message.term.value, replica, message.lastIndex.value, message.received);
}

model::SnapshotReply decode(FieldReader& reader, const fbs::SnapshotReply& message)
{
    return {
        .term = {message.term()},
        .replica = reader.name<model::ReplicaId>(message.replica(), "SnapshotReply.replica"),
        .lastIndex = {message.last_index()},
        .received = message.received(),
    };
}

Offset<fbs::JoinRequest> encode(Builder& builder, const model::JoinRequest& message)
{
    const auto replica = encodeName(builder, message.replica);
    const auto host = encodeName(builder, message.host);
    const auto inviter = encodeName(builder, message.inviter);
    return fbs::CreateJoinRequest(builder, replica, host, message.isNewDisk, inviter);
}

model::JoinRequest decode(FieldReader& reader, const fbs::JoinRequest& message)
{
    return {
        .replica = reader.name<model::ReplicaId>(message.replica(), "JoinRequest.replica"),
        .host = reader.name<HostId>(message.host(), "JoinRequest.host"),
        .isNewDisk = message.is_new_disk(),
        .inviter = reader.name<model::ReplicaId>(message.inviter(), "JoinRequest.inviter"),
    };
}

Offset<fbs::BundlePush> encode(Builder& builder, const model::BundlePush& message)
{
    const auto content = encodeBytes(builder, message.content);
    const fbs::LogPosition position = encodePosition(message.position);
    return fbs::CreateBundlePush(
        builder, &position, message.version.value, content, encodeDuration(message.age), message.pull);
}

model::BundlePush decode(FieldReader& reader, const fbs::BundlePush& message)
{
    return {
        .position = decodePosition(message.position()),
        .version = {message.version()},
        .content = reader.bytes(message.content(), "BundlePush.content"),
        .age = reader.duration(message.age(), "BundlePush.age"),
        .pull = message.pull(),
    };
}

Offset<fbs::BundlePart> encode(Builder& builder, const model::BundlePart& message)
{
    const auto bytes = encodeBytes(builder, message.bytes);
    const fbs::LogPosition position = encodePosition(message.position);
    const fbs::LogPosition base = encodePosition(message.base);
    return fbs::CreateBundlePart(builder, &position, message.version.value, message.totalSize, message.offset,
        message.checksum, bytes, encodeDuration(message.age), message.pull, &base);
}

model::BundlePart decode(FieldReader& reader, const fbs::BundlePart& message)
{
    model::BundlePart decoded {
        .position = decodePosition(message.position()),
        .version = {message.version()},
        .totalSize = message.total_size(),
        .offset = message.offset(),
        .checksum = message.checksum(),
        .bytes = reader.bytes(message.bytes(), "BundlePart.bytes"),
        .age = reader.duration(message.age(), "BundlePart.age"),
        .pull = message.pull(),
        .base = decodePosition(message.base()),
    };
    reader.require(decoded.offset <= decoded.totalSize, "BundlePart.offset");
    reader.require(decoded.bytes.size() <= decoded.totalSize - decoded.offset, "BundlePart.bytes");
    return decoded;
}

Offset<fbs::BundlePull> encode(Builder& builder, const model::BundlePull& message)
{
    const fbs::LogPosition have = encodePosition(message.have);
    const fbs::LogPosition partOf = encodePosition(message.partOf);
    const fbs::LogPosition partBase = encodePosition(message.partBase);
    return fbs::CreateBundlePull(builder, &have, message.isStarting, message.pull, &partOf, message.offset,
        message.wantsWhole, &partBase, message.wantsFullReport);
}

model::BundlePull decode(FieldReader& /*reader*/, const fbs::BundlePull& message)
{
    return {.have = decodePosition(message.have()),
        .isStarting = message.is_starting(),
        .pull = message.pull(),
        .partOf = decodePosition(message.part_of()),
        .partBase = decodePosition(message.part_base()),
        .offset = message.offset(),
        .wantsWhole = message.wants_whole(),
        .wantsFullReport = message.wants_full_report()};
}

Offset<fbs::BundleCurrent> encode(Builder& builder, const model::BundleCurrent& message)
{
    const fbs::LogPosition position = encodePosition(message.position);
    const fbs::LogPosition orders = encodePosition(message.orders);
    return fbs::CreateBundleCurrent(builder, &position, encodeDuration(message.age), message.pull, &orders);
}

model::BundleCurrent decode(FieldReader& reader, const fbs::BundleCurrent& message)
{
    return {
        .position = decodePosition(message.position()),
        .age = reader.duration(message.age(), "BundleCurrent.age"),
        .pull = message.pull(),
        .orders = decodePosition(message.orders()),
    };
}

} // namespace saltvane::wire
