/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/envelopecodec.h"

#include "wire/internal/controlmessagecodec.h"
#include "wire/internal/hostmessagecodec.h"
#include "wire/internal/limitmessagecodec.h"
#include "wire/internal/peermessagecodec.h"
#include "wire/internal/requestmessagecodec.h"
#include "wire/internal/rolloutmessagecodec.h"
#include "wire/internal/suspectmessagecodec.h"
#include "wire/internal/targetmessagecodec.h"

#include <array>
#include <xxhash.h>

namespace saltvane::wire {

namespace {

constexpr uint32_t MaxNestingDepth = 16;
constexpr uint32_t MaxTables = 200'000;

using Decoder = model::Message (*)(FieldReader&, const void*);

template <typename Wire> model::Message decodeAs(FieldReader& reader, const void* table)
{
    return decode(reader, *static_cast<const Wire*>(table));
}

/// Indexed by the payload type; type 0 means no payload.
constexpr std::array Decoders {
    static_cast<Decoder>(nullptr),
    &decodeAs<fbs::Heartbeat>,
    &decodeAs<fbs::ZoneReport>,
    &decodeAs<fbs::CreditRequest>,
    &decodeAs<fbs::CreditGrant>,
    &decodeAs<fbs::OwnershipHandover>,
    &decodeAs<fbs::HandoverProgress>,
    &decodeAs<fbs::RowsRequest>,
    &decodeAs<fbs::RowsReply>,
    &decodeAs<fbs::ForwardRequest>,
    &decodeAs<fbs::ForwardBody>,
    &decodeAs<fbs::ForwardWindow>,
    &decodeAs<fbs::ForwardResponseHead>,
    &decodeAs<fbs::ForwardEnd>,
    &decodeAs<fbs::ForwardCancel>,
    &decodeAs<fbs::ClaimRequest>,
    &decodeAs<fbs::ClaimReply>,
    &decodeAs<fbs::VoteRequest>,
    &decodeAs<fbs::VoteReply>,
    &decodeAs<fbs::AppendRequest>,
    &decodeAs<fbs::AppendReply>,
    &decodeAs<fbs::SnapshotChunk>,
    &decodeAs<fbs::SnapshotReply>,
    &decodeAs<fbs::JoinRequest>,
    &decodeAs<fbs::BundlePush>,
    &decodeAs<fbs::BundlePull>,
    &decodeAs<fbs::BundleCurrent>,
    &decodeAs<fbs::TargetReport>,
    &decodeAs<fbs::TargetLoads>,
    &decodeAs<fbs::StartNotice>,
    &decodeAs<fbs::BundlePart>,
    &decodeAs<fbs::SuspectReport>,
    &decodeAs<fbs::LimitCreditRequest>,
    &decodeAs<fbs::LimitCreditReply>,
    &decodeAs<fbs::BackpressureReport>,
    &decodeAs<fbs::RolloutReport>,
    &decodeAs<fbs::PeerRequest>,
    &decodeAs<fbs::PeerReport>,
};
static_assert(Decoders.size() == static_cast<size_t>(fbs::Payload::MAX) + 1);
static_assert(Decoders.size() == std::variant_size_v<model::Message> + 1);

bool isVerified(std::string_view envelope)
{
    const flatbuffers::Verifier::Options options {.max_depth = MaxNestingDepth, .max_tables = MaxTables};
    flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(envelope.data()), envelope.size(), options);
    return fbs::VerifyEnvelopeBuffer(verifier);
}

} // namespace

uint64_t checksumOf(std::string_view envelope) { return XXH64(envelope.data(), envelope.size(), 0); }

Result<model::Message, FrameError> decodeEnvelope(std::string_view envelope)
{
    if (!isVerified(envelope))
        return FrameError {.kind = FrameErrorKind::BadEnvelope, .field = {}};
    const fbs::Envelope* root = fbs::GetEnvelope(envelope.data());
    const auto kind = static_cast<size_t>(root->payload_type());
    if (kind == 0 || kind >= Decoders.size() || root->payload() == nullptr)
        return FrameError {.kind = FrameErrorKind::BadField, .field = "Envelope.payload"};
    FieldReader reader(envelope.size());
    model::Message message = Decoders[kind](reader, root->payload());
    if (reader.badField())
        return FrameError {.kind = FrameErrorKind::BadField, .field = *reader.badField()};
    return message;
}

} // namespace saltvane::wire
