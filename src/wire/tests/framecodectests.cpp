/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "messagefields.h"
#include "samplemessages.h"
#include "wire/framecodec.h"

#include <gtest/gtest.h>
#include <limits>
#include <set>

namespace saltvane::wire {
namespace {

model::Message decodeFrame(std::string_view frame)
{
    FrameReader reader;
    reader.append(frame);
    auto message = reader.next();
    EXPECT_TRUE(message.isOk());
    if (!message || !message.value())
        return {};
    return std::move(*message.value());
}

FrameError decodeError(std::string_view frame)
{
    FrameReader reader;
    reader.append(frame);
    const auto message = reader.next();
    EXPECT_FALSE(message.isOk());
    return message.isOk() ? FrameError {.field = "none"} : message.error();
}

std::string invalidFieldOf(const model::Message& message)
{
    const FrameError error = decodeError(encodeFrame(message));
    EXPECT_EQ(error.kind, FrameErrorKind::BadField);
    return error.field;
}

TEST(FrameCodecTest, SamplesCoverEveryMessageAndField)
{
    std::set<size_t> kinds;
    for (const model::Message& sample : sampleMessages()) {
        kinds.insert(sample.index());
        std::visit(
            [](const auto& message) {
                EXPECT_EQ(firstDefault(message), fieldCount<std::remove_cvref_t<decltype(message)>>())
                    << typeid(message).name() << " has a field at its default";
            },
            sample);
    }
    EXPECT_EQ(kinds.size(), std::variant_size_v<model::Message>);
}

TEST(FrameCodecTest, EveryFieldOfEveryMessageSurvivesARoundTrip)
{
    for (const model::Message& sample : sampleMessages()) {
        const model::Message decoded = decodeFrame(encodeFrame(sample));
        ASSERT_EQ(decoded.index(), sample.index());
        std::visit(
            [&decoded](const auto& message) {
                using Kind = std::remove_cvref_t<decltype(message)>;
                EXPECT_EQ(firstDifference(message, std::get<Kind>(decoded)), fieldCount<Kind>())
                    << typeid(message).name();
            },
            sample);
    }
}

TEST(FrameCodecTest, DefaultValuesSurviveARoundTrip)
{
    const auto request = std::get<model::ForwardRequest>(decodeFrame(encodeFrame(model::ForwardRequest {})));
    EXPECT_FALSE(request.bodyLength.has_value());
    EXPECT_EQ(firstDifference(request, model::ForwardRequest {}), fieldCount<model::ForwardRequest>());
}

TEST(FrameCodecTest, FrameCutAtAnyByteGivesNoMessageUntilItIsComplete)
{
    for (const model::Message& sample : sampleMessages()) {
        const std::string frame = encodeFrame(sample);
        for (size_t cut = 0; cut < frame.size(); ++cut) {
            FrameReader reader;
            reader.append(std::string_view(frame).substr(0, cut));
            const auto early = reader.next();
            ASSERT_TRUE(early.isOk());
            ASSERT_FALSE(early.value().has_value()) << "cut at " << cut;
            reader.append(std::string_view(frame).substr(cut));
            const auto whole = reader.next();
            ASSERT_TRUE(whole.isOk());
            ASSERT_TRUE(whole.value().has_value());
            ASSERT_EQ(encodeFrame(*whole.value()), frame);
        }
    }
}

TEST(FrameCodecTest, MessagesKeepTheirOrderForAnyChunkSize)
{
    constexpr size_t FrameCount = 300;
    std::string stream;
    for (size_t i = 0; i < FrameCount; ++i)
        stream += encodeFrame(model::ForwardBody {.offset = i, .bytes = std::string(i * 37 % 5000, 'x')});
    for (const size_t piece : {size_t(1), size_t(13), size_t(4096), size_t(70001), stream.size()}) {
        FrameReader reader;
        uint64_t expected = 0;
        for (size_t at = 0; at < stream.size(); at += piece) {
            reader.append(std::string_view(stream).substr(at, piece));
            for (auto message = reader.next(); message.value(); message = reader.next()) {
                const auto& body = std::get<model::ForwardBody>(*message.value());
                ASSERT_EQ(body.offset, expected);
                ASSERT_EQ(body.bytes.size(), expected * 37 % 5000);
                ++expected;
            }
        }
        EXPECT_EQ(expected, FrameCount);
    }
}

TEST(FrameCodecTest, TooLargeFramesAreRejectedByTheirLengthField)
{
    const uint32_t length = MaxFrameBytes + 8;
    EXPECT_EQ(decodeError({reinterpret_cast<const char*>(&length), sizeof(length)}).kind, FrameErrorKind::TooLarge);
    EXPECT_TRUE(encodeFrame(model::ForwardBody {.bytes = std::string(MaxFrameBytes, 'x')}).empty());
}

TEST(FrameCodecTest, LengthThatIsNoMultipleOfEightIsRejected)
{
    const uint32_t length = 12;
    EXPECT_EQ(decodeError({reinterpret_cast<const char*>(&length), sizeof(length)}).kind, FrameErrorKind::BadLength);
}

TEST(FrameCodecTest, ChangedByteFailsTheChecksum)
{
    std::string frame = encodeFrame(sampleMessages().front());
    frame.back() = static_cast<char>(frame.back() ^ 1);
    EXPECT_EQ(decodeError(frame).kind, FrameErrorKind::BadChecksum);
}

TEST(FrameCodecTest, ErrorsNameTheInvalidField)
{
    using namespace model;
    EXPECT_EQ(invalidFieldOf(ForwardEnd {.outcome = static_cast<Outcome>(3)}), "ForwardEnd.outcome");
    EXPECT_EQ(invalidFieldOf(ForwardEnd {.reason = Reason::Count}), "ForwardEnd.reason");
    EXPECT_EQ(invalidFieldOf(ForwardCancel {.reason = Reason::Count}), "ForwardCancel.reason");
    EXPECT_EQ(invalidFieldOf(ForwardBody {.direction = static_cast<Direction>(2)}), "ForwardBody.direction");
    EXPECT_EQ(invalidFieldOf(ForwardBody {.offset = std::numeric_limits<uint64_t>::max()}), "ForwardBody.offset");
    EXPECT_EQ(invalidFieldOf(ForwardRequest {.purpose = static_cast<ForwardPurpose>(2)}), "ForwardRequest.purpose");
    EXPECT_EQ(invalidFieldOf(ForwardResponseHead {.status = 99}), "ForwardResponseHead.status");
    EXPECT_EQ(invalidFieldOf(ClaimReply {.result = static_cast<ClaimResult>(4)}), "ClaimReply.result");
    EXPECT_EQ(invalidFieldOf(SnapshotChunk {.offset = 2, .totalSize = 1}), "SnapshotChunk.offset");
    EXPECT_EQ(invalidFieldOf(SnapshotChunk {.totalSize = 1, .bytes = "ab"}), "SnapshotChunk.bytes");
    EXPECT_EQ(invalidFieldOf(ZoneReport {.hosts = {sampleHostRecord()}}), "ZoneReport.ages");
    EXPECT_EQ(invalidFieldOf(RowsReply {.rows = {{.zones = {ZoneName("a")}}}}), "RouteRow.shares");
    EXPECT_EQ(invalidFieldOf(RowsReply {.rows = {{.zones = {ZoneName("a")}, .shares = {1.5}}}}), "RouteRow.shares");
    EXPECT_EQ(invalidFieldOf(CreditGrant {.service = ServiceName(std::string(2000, 'x'))}), "CreditGrant.service");
    EXPECT_EQ(
        invalidFieldOf(OwnershipHandover {.address = {.ip = "127.0.0.1", .port = 0}}), "OwnershipHandover.address");
}

TEST(FrameCodecTest, ErrorsNameTheInvalidFieldOfAHostRecord)
{
    model::HostRecord record = sampleHostRecord();
    record.state = static_cast<model::HostState>(3);
    EXPECT_EQ(invalidFieldOf(model::Heartbeat {record}), "HostRecord.state");
    record = sampleHostRecord();
    record.host = HostId();
    EXPECT_EQ(invalidFieldOf(model::Heartbeat {record}), "HostRecord.host");
    for (const double concurrency :
        {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        record = sampleHostRecord();
        record.demands.front().concurrency = concurrency;
        EXPECT_EQ(invalidFieldOf(model::Heartbeat {record}), "ServiceDemand.concurrency");
    }
}

TEST(FrameCodecTest, NegativeDurationsAreSentAsZero)
{
    const model::Message message = decodeFrame(encodeFrame(model::ForwardRequest {.deadline = -1ms}));
    EXPECT_EQ(std::get<model::ForwardRequest>(message).deadline, Duration {});
}

} // namespace
} // namespace saltvane::wire
