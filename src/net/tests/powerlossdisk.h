/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/internal/diskcalls.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

namespace saltvane::net::tests {

/// Writes to real files, and remembers by hard links which name stood for which file when the folder was last synced.
/// After a loss of power each name that changed since is found as it was then or as it is now, independently of the
/// others, and files are cut off somewhere behind the bytes that were synced.
class PowerLossDisk final : public IDiskCalls {
public:
    /// `links` is a folder on the same file system, outside of `folder`.
    PowerLossDisk(std::filesystem::path folder, std::filesystem::path links, uint64_t seed)
        : folder_(std::move(folder))
        , links_(std::move(links))
        , random_(seed)
    {
        std::filesystem::create_directories(links_);
    }

    [[nodiscard]] ssize_t write(int fd, const void* bytes, size_t size, off_t offset) override
    {
        if (fails())
            return -1;
        unsynced_.try_emplace(inodeOf(fd), static_cast<uint64_t>(offset));
        return real_.write(fd, bytes, size, offset);
    }
    [[nodiscard]] int syncData(int fd) override
    {
        if (fails())
            return -1;
        unsynced_.erase(inodeOf(fd));
        return 0;
    }
    [[nodiscard]] int truncate(int fd, off_t size) override { return fails() ? -1 : real_.truncate(fd, size); }
    [[nodiscard]] int rename(const std::string& from, const std::string& to) override
    {
        return fails() ? -1 : real_.rename(from, to);
    }
    [[nodiscard]] int remove(const std::string& path) override { return fails() ? -1 : real_.remove(path); }
    [[nodiscard]] int syncFolder(const std::string& path) override
    {
        if (fails())
            return -1;
        syncedFolders_.insert(path);
        if (std::filesystem::path(path) == folder_)
            recordNames();
        return 0;
    }
    [[nodiscard]] bool hasSynced(const std::filesystem::path& folder) const { return syncedFolders_.contains(folder); }

    /// The process ends at this call, counted from the next one.
    void crashAfter(uint64_t calls) { crashingCall_ = calls_ + calls; }
    /// This call fails once, counted from the next one.
    void failAfter(uint64_t calls) { failingCall_ = calls_ + calls; }
    /// The process starts again; what it found on the disk before, it finds now.
    void restart()
    {
        hasCrashed_ = false;
        crashingCall_ = Never;
        failingCall_ = Never;
    }
    /// Files that were renamed or removed since the folder was last synced.
    [[nodiscard]] std::set<std::string> unsyncedNames() const
    {
        std::set<std::string> names;
        for (const auto& [name, inode] : currentNames()) {
            const auto synced = synced_.find(name);
            if (synced == synced_.end() || synced->second.inode != inode)
                names.insert(name);
        }
        for (const auto& [name, file] : synced_) {
            if (!std::filesystem::exists(folder_ / name))
                names.insert(name);
        }
        return names;
    }
    void losePower()
    {
        std::set<std::string> lost;
        for (const std::string& name : unsyncedNames()) {
            if (draw(1) == 0)
                lost.insert(name);
        }
        losePower(lost);
    }
    /// The changes of exactly these names are lost.
    void losePower(const std::set<std::string>& lostNames)
    {
        cutUnsyncedBytes();
        for (const std::string& name : lostNames) {
            std::filesystem::remove(folder_ / name);
            if (const auto synced = synced_.find(name); synced != synced_.end())
                std::filesystem::create_hard_link(synced->second.link, folder_ / name);
        }
        recordNames();
        restart();
    }

private:
    static constexpr uint64_t Never = std::numeric_limits<uint64_t>::max();
    struct SyncedFile {
        ino_t inode = 0;
        std::filesystem::path link;
    };

    [[nodiscard]] uint64_t draw(uint64_t most)
    {
        return boost::random::uniform_int_distribution<uint64_t>(0, most)(random_);
    }
    [[nodiscard]] bool fails()
    {
        const uint64_t call = calls_++;
        hasCrashed_ = hasCrashed_ || call >= crashingCall_;
        errno = EIO;
        return hasCrashed_ || call == failingCall_;
    }
    [[nodiscard]] static ino_t inodeOf(int fd)
    {
        struct stat status { };
        return ::fstat(fd, &status) == 0 ? status.st_ino : 0;
    }
    [[nodiscard]] static ino_t inodeOf(const std::filesystem::path& path)
    {
        struct stat status { };
        return ::stat(path.c_str(), &status) == 0 ? status.st_ino : 0;
    }
    [[nodiscard]] std::map<std::string, ino_t> currentNames() const
    {
        std::map<std::string, ino_t> names;
        for (const auto& item : std::filesystem::directory_iterator(folder_))
            names.emplace(item.path().filename(), inodeOf(item.path()));
        return names;
    }
    void recordNames()
    {
        const std::map<std::string, ino_t> current = currentNames();
        std::erase_if(synced_, [&](const auto& item) {
            const auto now = current.find(item.first);
            const bool isSame = now != current.end() && now->second == item.second.inode;
            if (!isSame)
                std::filesystem::remove(item.second.link);
            return !isSame;
        });
        for (const auto& [name, inode] : current) {
            if (synced_.contains(name))
                continue;
            const std::filesystem::path link = links_ / std::to_string(linkCount_++);
            std::filesystem::create_hard_link(folder_ / name, link);
            synced_.emplace(name, SyncedFile {.inode = inode, .link = link});
        }
    }
    void cutUnsyncedBytes()
    {
        for (const auto& [name, inode] : currentNames()) {
            const auto found = unsynced_.find(inode);
            if (found == unsynced_.end())
                continue;
            const uint64_t size = std::filesystem::file_size(folder_ / name);
            if (size > found->second)
                std::filesystem::resize_file(folder_ / name, found->second + draw(size - found->second));
        }
        unsynced_.clear();
    }

    std::filesystem::path folder_;
    std::filesystem::path links_;
    boost::random::mt19937_64 random_;
    DiskCalls real_;
    std::map<std::string, SyncedFile> synced_; ///< By name, as of the last sync of the folder.
    std::set<std::filesystem::path> syncedFolders_;
    std::map<ino_t, uint64_t> unsynced_; ///< Bytes that were synced of files with later ones.
    uint64_t linkCount_ = 0;
    uint64_t calls_ = 0;
    uint64_t crashingCall_ = Never;
    uint64_t failingCall_ = Never;
    bool hasCrashed_ = false;
};

} // namespace saltvane::net::tests
