/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/logitems.h"

#include "net/internal/linkhello.h"

namespace saltvane::net {

namespace {

constexpr size_t IntegerBytes = 8;

/// First byte of each stored item; equals the index in LogItem, so the order must never change.
enum class ItemKind : char { SegmentStart, HardState, Truncate, Entry, SnapshotMark };

class ItemWriter {
public:
    explicit ItemWriter(std::string& to)
        : to_(to)
    {
    }
    void kind(ItemKind value) { to_ += static_cast<char>(value); }
    void integer(uint64_t value) { to_ += encodeLinkInteger(value, IntegerBytes); }
    void text(std::string_view value)
    {
        integer(value.size());
        to_ += value;
    }

    void operator()(const SegmentStart& item)
    {
        kind(ItemKind::SegmentStart);
        integer(item.segment);
        integer(item.last.index.value);
        integer(item.last.term.value);
        integer(item.hardState.term.value);
        text(item.hardState.votedFor.value());
    }
    void operator()(const control::HardState& item)
    {
        kind(ItemKind::HardState);
        integer(item.term.value);
        text(item.votedFor.value());
    }
    void operator()(const Truncate& item)
    {
        kind(ItemKind::Truncate);
        integer(item.from.value);
    }
    void operator()(const model::LogEntry& item)
    {
        kind(ItemKind::Entry);
        integer(item.index.value);
        integer(item.term.value);
        text(item.payload);
    }
    void operator()(const SnapshotMark& item)
    {
        kind(ItemKind::SnapshotMark);
        integer(item.index.value);
        integer(item.term.value);
    }

private:
    std::string& to_;
};

class ItemReader {
public:
    explicit ItemReader(std::string_view bytes)
        : rest_(bytes)
    {
    }
    [[nodiscard]] bool isAtEnd() const { return rest_.empty(); }
    [[nodiscard]] bool isGood() const { return isGood_; }

    [[nodiscard]] LogItem item()
    {
        switch (static_cast<ItemKind>(read(1).front())) {
        case ItemKind::SegmentStart:
            return SegmentStart {integer(), {{integer()}, {integer()}}, hardState()};
        case ItemKind::HardState:
            return hardState();
        case ItemKind::Truncate:
            return Truncate {{integer()}};
        case ItemKind::Entry:
            return model::LogEntry {{integer()}, {integer()}, std::string(text())};
        case ItemKind::SnapshotMark:
            return SnapshotMark {{integer()}, {integer()}};
        }
        isGood_ = false;
        return Truncate {};
    }

private:
    [[nodiscard]] std::string_view read(uint64_t size)
    {
        if (size > rest_.size()) {
            isGood_ = false;
            rest_ = {};
            return std::string_view("\0", 1);
        }
        const std::string_view bytes = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return bytes;
    }
    [[nodiscard]] uint64_t integer() { return decodeLinkInteger(read(IntegerBytes)); }
    [[nodiscard]] std::string_view text() { return read(integer()); }
    [[nodiscard]] control::HardState hardState() { return control::HardState {{integer()}, model::ReplicaId(text())}; }

    std::string_view rest_;
    bool isGood_ = true;
};

} // namespace

std::vector<LogItem> itemsOf(const control::StorageWrite& write)
{
    std::vector<LogItem> items;
    if (write.hardState)
        items.emplace_back(*write.hardState);
    if (write.truncateFrom)
        items.emplace_back(Truncate {*write.truncateFrom});
    // Entries after a received snapshot do not continue those before it, so its mark is written between them.
    const LogIndex last = write.snapshot ? write.snapshotIndex : LogIndex {};
    for (const model::LogEntry& entry : write.append) {
        if (entry.index <= last)
            items.emplace_back(entry);
    }
    if (write.snapshot)
        items.emplace_back(SnapshotMark {write.snapshotIndex, write.snapshotTerm});
    for (const model::LogEntry& entry : write.append) {
        if (entry.index > last)
            items.emplace_back(entry);
    }
    return items;
}

std::string encodeItems(const std::vector<LogItem>& items)
{
    std::string payload;
    ItemWriter writer(payload);
    for (const LogItem& item : items)
        std::visit(writer, item);
    return payload;
}

std::optional<std::vector<LogItem>> decodeItems(std::string_view payload)
{
    std::vector<LogItem> items;
    ItemReader reader(payload);
    while (!reader.isAtEnd()) {
        items.push_back(reader.item());
        if (!reader.isGood())
            return std::nullopt;
    }
    return items;
}

} // namespace saltvane::net
