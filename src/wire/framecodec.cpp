/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/framecodec.h"

#include "wire/internal/controlmessagecodec.h"
#include "wire/internal/envelopecodec.h"
#include "wire/internal/hostmessagecodec.h"
#include "wire/internal/limitmessagecodec.h"
#include "wire/internal/peermessagecodec.h"
#include "wire/internal/requestmessagecodec.h"
#include "wire/internal/rolloutmessagecodec.h"
#include "wire/internal/suspectmessagecodec.h"
#include "wire/internal/targetmessagecodec.h"

#include <bit>
#include <cstring>

namespace saltvane::wire {

static_assert(std::endian::native == std::endian::little, "frame headers are copied as they are in memory");

namespace {

constexpr size_t EnvelopeOverheadBytes = 1024;
/// Between frames, a reader frees a buffer larger than this: there is a reader for each link, and most links are idle.
constexpr size_t MaxIdleBufferBytes = 4 * 1024;

template <typename Wire> fbs::Payload payloadOf(const Offset<Wire>& /*table*/)
{
    return fbs::PayloadTraits<Wire>::enum_value;
}

/// Size of the field that makes up most of a message, to size the builder's buffer.
struct BulkFieldSize {
    size_t operator()(const model::ForwardBody& body) const { return body.bytes.size(); }
    size_t operator()(const model::SnapshotChunk& chunk) const { return chunk.bytes.size(); }
    size_t operator()(const model::BundlePush& push) const { return push.content.size(); }
    size_t operator()(const model::BundlePart& part) const { return part.bytes.size(); }
    template <typename Other> size_t operator()(const Other& /*message*/) const { return 0; }
};

void finishEnvelope(Builder& builder, const model::Message& message)
{
    std::visit(
        [&builder](const auto& content) {
            const auto table = encode(builder, content);
            fbs::FinishEnvelopeBuffer(builder, fbs::CreateEnvelope(builder, payloadOf(table), table.Union()));
        },
        message);
}

constexpr size_t alignedUp(size_t size) { return (size + FrameAlignment - 1) / FrameAlignment * FrameAlignment; }

template <typename Number> Number readNumber(const char* from)
{
    Number number = 0;
    std::memcpy(&number, from, sizeof(number));
    return number;
}

/// Padding before the first frame that aligns its envelope. All later envelopes are then aligned too.
constexpr size_t LeadingPadding = FrameAlignment - FrameHeaderSize % FrameAlignment;

} // namespace

std::string encodeFrame(const model::Message& message)
{
    Builder builder(std::visit(BulkFieldSize {}, message) + EnvelopeOverheadBytes);
    finishEnvelope(builder, message);
    const size_t size = builder.GetSize();
    const size_t paddedSize = alignedUp(size);
    if (paddedSize > MaxFrameBytes)
        return {};
    std::string frame;
    frame.reserve(FrameHeaderSize + paddedSize);
    frame.resize(FrameHeaderSize);
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
    frame.resize(FrameHeaderSize + paddedSize);
    const auto length = static_cast<uint32_t>(paddedSize);
    const uint64_t checksum = checksumOf(std::string_view(frame).substr(FrameHeaderSize));
    std::memcpy(frame.data(), &length, sizeof(length));
    std::memcpy(frame.data() + sizeof(length), &checksum, sizeof(checksum));
    return frame;
}

FrameReader::FrameReader()
    : buffer_(LeadingPadding, '\0')
    , consumed_(LeadingPadding)
{
}

void FrameReader::resetBuffer()
{
    if (buffer_.capacity() > MaxIdleBufferBytes)
        buffer_ = std::string();
    buffer_.resize(LeadingPadding);
    consumed_ = LeadingPadding;
}

void FrameReader::append(std::string_view bytes)
{
    if (consumed_ > buffer_.size() / 2) {
        // At least one byte is removed for each byte that is moved, so the amortized cost per byte is constant.
        buffer_.erase(LeadingPadding, consumed_ - LeadingPadding);
        consumed_ = LeadingPadding;
    }
    buffer_.append(bytes);
}

Result<std::optional<model::Message>, FrameError> FrameReader::next()
{
    const std::string_view pending = std::string_view(buffer_).substr(consumed_);
    if (pending.size() < sizeof(uint32_t))
        return std::optional<model::Message> {};
    const auto length = readNumber<uint32_t>(pending.data());
    if (length > MaxFrameBytes)
        return FrameError {.kind = FrameErrorKind::TooLarge, .field = "length"};
    if (length % FrameAlignment != 0)
        return FrameError {.kind = FrameErrorKind::BadLength, .field = "length"};
    if (pending.size() < FrameHeaderSize + length)
        return std::optional<model::Message> {};
    const std::string_view envelope = pending.substr(FrameHeaderSize, length);
    if (readNumber<uint64_t>(pending.data() + sizeof(uint32_t)) != checksumOf(envelope))
        return FrameError {.kind = FrameErrorKind::BadChecksum, .field = "checksum"};
    Result<model::Message, FrameError> message = decodeEnvelope(envelope);
    if (!message)
        return message.error();
    consumed_ += FrameHeaderSize + length;
    if (consumed_ == buffer_.size())
        resetBuffer();
    return std::optional<model::Message>(std::move(message.value()));
}

} // namespace saltvane::wire
