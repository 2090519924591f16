/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "samplemessages.h"
#include "wire/framecodec.h"
#include "wire/internal/commoncodec.h"
#include "wire/internal/envelopecodec.h"

#include <array>
#include <cstring>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <random>
#include <xxhash.h>

namespace saltvane::wire {
namespace {

constexpr uint64_t Seed = 20260801;
constexpr int MutationsPerSample = 3000;

/// Builds a frame with a valid header for a changed envelope, so that the change reaches the checks after the checksum.
std::string makeFrame(std::string_view envelope)
{
    std::string padded(envelope);
    padded.resize((padded.size() + FrameAlignment - 1) / FrameAlignment * FrameAlignment);
    const auto length = static_cast<uint32_t>(padded.size());
    const uint64_t checksum = checksumOf(padded);
    std::string frame(FrameHeaderSize, '\0');
    std::memcpy(frame.data(), &length, sizeof(length));
    std::memcpy(frame.data() + sizeof(length), &checksum, sizeof(checksum));
    return frame + padded;
}

class Mutator {
public:
    std::string mutate(std::string bytes)
    {
        const int changes = 1 + static_cast<int>(random_() % 4);
        for (int i = 0; i < changes && !bytes.empty(); ++i)
            change(bytes);
        return bytes;
    }

private:
    void change(std::string& bytes)
    {
        const size_t at = random_() % bytes.size();
        switch (random_() % 5) {
        case 0:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random_() % 8)));
            break;
        case 1:
            bytes[at] = static_cast<char>(random_());
            break;
        case 2:
            bytes.resize(at);
            break;
        case 3:
            bytes.insert(at, 1 + random_() % 8, static_cast<char>(random_()));
            break;
        default:
            bytes.replace(at, 4, "\xff\xff\xff\x7f");
        }
    }

    std::mt19937_64 random_ {Seed};
};

/// Counts the results of decoding changed frames.
struct MutationResults {
    int messages = 0;
    int incomplete = 0;
    std::array<int, 5> errors {};

    void decodeAndCount(std::string_view bytes)
    {
        FrameReader reader;
        reader.append(bytes);
        const auto message = reader.next();
        if (!message) {
            ++errors.at(static_cast<size_t>(message.error().kind));
            EXPECT_TRUE(message.error().kind != FrameErrorKind::BadField || !message.error().field.empty());
        } else if (message.value()) {
            ++messages;
            EXPECT_FALSE(encodeFrame(*message.value()).empty());
        } else {
            ++incomplete;
        }
    }
    [[nodiscard]] int errorCount(FrameErrorKind kind) const { return errors.at(static_cast<size_t>(kind)); }
};

TEST(FrameMutationTest, ChangedFramesNeverCrash)
{
    Mutator mutator;
    MutationResults results;
    for (const model::Message& sample : sampleMessages()) {
        const std::string frame = encodeFrame(sample);
        for (int i = 0; i < MutationsPerSample; ++i)
            results.decodeAndCount(mutator.mutate(frame));
    }
    EXPECT_GT(results.errorCount(FrameErrorKind::BadChecksum), 0);
    EXPECT_GT(results.errorCount(FrameErrorKind::TooLarge), 0);
    EXPECT_GT(results.errorCount(FrameErrorKind::BadLength), 0);
    EXPECT_GT(results.incomplete, 0);
}

TEST(FrameMutationTest, ChangedEnvelopesWithGoodChecksumNeverCrash)
{
    Mutator mutator;
    MutationResults results;
    for (const model::Message& sample : sampleMessages()) {
        const std::string envelope = encodeFrame(sample).substr(FrameHeaderSize);
        for (int i = 0; i < MutationsPerSample; ++i)
            results.decodeAndCount(makeFrame(mutator.mutate(envelope)));
    }
    EXPECT_GT(results.errorCount(FrameErrorKind::BadEnvelope), 0);
    EXPECT_GT(results.errorCount(FrameErrorKind::BadField), 0);
    EXPECT_GT(results.messages, 0);
    EXPECT_EQ(results.errorCount(FrameErrorKind::BadChecksum), 0);
}

template <typename Make> FrameError envelopeError(Make make)
{
    Builder builder;
    make(builder);
    FrameReader reader;
    reader.append(makeFrame({reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()}));
    const auto message = reader.next();
    EXPECT_FALSE(message.isOk());
    return message.isOk() ? FrameError {.field = "none"} : message.error();
}

TEST(FrameMutationTest, NegativeDurationIsRejected)
{
    const FrameError error = envelopeError([](Builder& builder) {
        const auto table = fbs::CreateCreditGrant(builder, 0, 1, -1, 1);
        fbs::FinishEnvelopeBuffer(builder, fbs::CreateEnvelope(builder, fbs::Payload::CreditGrant, table.Union()));
    });
    EXPECT_EQ(error.kind, FrameErrorKind::BadField);
    EXPECT_EQ(error.field, "CreditGrant.validFor");
}

TEST(FrameMutationTest, UnknownOrMissingPayloadIsRejected)
{
    const FrameError missing
        = envelopeError([](Builder& builder) { fbs::FinishEnvelopeBuffer(builder, fbs::CreateEnvelope(builder)); });
    EXPECT_EQ(missing.field, "Envelope.payload");
    const FrameError unknown = envelopeError([](Builder& builder) {
        const auto table = fbs::CreateRowsRequest(builder);
        fbs::FinishEnvelopeBuffer(builder, fbs::CreateEnvelope(builder, static_cast<fbs::Payload>(200), table.Union()));
    });
    EXPECT_EQ(unknown.field, "Envelope.payload");
}

TEST(FrameMutationTest, OverlappingFieldsCannotMakeAMessageLargerThanItsFrame)
{
    const FrameError error = envelopeError([](Builder& builder) {
        const auto payload = encodeBytes(builder, std::string(4096, 'x'));
        const auto entry = fbs::CreateLogEntry(builder, 1, 1, payload);
        const std::vector<Offset<fbs::LogEntry>> entries(1000, entry);
        const auto table = fbs::CreateAppendRequest(builder, 1, 0, 0, 0, 0, 0, builder.CreateVector(entries));
        fbs::FinishEnvelopeBuffer(builder, fbs::CreateEnvelope(builder, fbs::Payload::AppendRequest, table.Union()));
    });
    EXPECT_EQ(error.kind, FrameErrorKind::BadField);
    EXPECT_EQ(error.field, "LogEntry.payload");
}

} // namespace
/// Guards against reading a misaligned vector of 8-byte numbers, which a peer may send, as if it were aligned. The
/// sanitizers (preset asan) report such a read as an error.
TEST(FrameMutationTest, MisalignedVectorIsReadOrRejected)
{
    std::ifstream file(std::string(SALTVANE_SOURCE_DIR) + "/testing/fuzz/seeds/frames/misaligned", std::ios::binary);
    std::string envelope {std::istreambuf_iterator<char>(file), {}};
    ASSERT_FALSE(envelope.empty());
    constexpr size_t Alignment = 8;
    envelope.resize((envelope.size() + Alignment - 1) / Alignment * Alignment);
    std::string frame;
    const auto append = [&](uint64_t value, size_t bytes) {
        for (size_t i = 0; i < bytes; ++i)
            frame.push_back(static_cast<char>(value >> (8 * i)));
    };
    append(envelope.size(), sizeof(uint32_t));
    append(XXH64(envelope.data(), envelope.size(), 0), sizeof(uint64_t));
    FrameReader reader;
    reader.append(frame + envelope);
    const auto message = reader.next();
    EXPECT_TRUE(!message || message.value().has_value());
}

} // namespace saltvane::wire
