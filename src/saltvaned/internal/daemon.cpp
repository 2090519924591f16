/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/daemon.h"

#include "base/log.h"
#include "saltvaned/internal/accesslog.h"
#include "saltvaned/internal/clocks.h"
#include "saltvaned/internal/commandline.h"

#include <algorithm>
#include <csignal>
#include <sys/stat.h>
#include <utility>

namespace saltvane::saltvaned {

namespace {

/// Interval of the checks whether the settings file has changed: no signal is needed for a reload.
constexpr Duration SettingsCheckInterval = 2s;

/// For requests that arrive when all others have ended.
constexpr Duration MaxShutdownTime = 60ms;
/// Sockets are read between ticks, so requests that arrived while the process did not run are still answered.
constexpr int MinShutdownTicks = 2;
/// After that time, for responses to be sent and what still arrives to be discarded.
constexpr int ShutdownFlushTicks = 2;

/// Modification time of a file in nanoseconds since the Unix epoch; 0 if it can't be read.
int64_t modificationTimeNs(const std::string& path)
{
    constexpr int64_t NanosecondsPerSecond = 1'000'000'000;
    struct stat info { };
    if (::stat(path.c_str(), &info) != 0)
        return 0;
    return info.st_mtim.tv_sec * NanosecondsPerSecond + info.st_mtim.tv_nsec;
}

} // namespace

Daemon::Daemon()
    : loop_(ev_loop_new(EVFLAG_AUTO))
    , logWriter_({})
{
    google::AddLogSink(&logWriter_);
}

Daemon::~Daemon()
{
    ev_timer_stop(loop_, &tickTimer_);
    ev_signal_stop(loop_, &terminateSignal_);
    ev_signal_stop(loop_, &interruptSignal_);
    ev_signal_stop(loop_, &hangUpSignal_);
    ev_timer_stop(loop_, &settingsTimer_);
    linkHub_.reset();
    targetClient_.reset();
    httpServers_.clear();
    ev_loop_destroy(loop_);
    google::RemoveLogSink(&logWriter_);
    logWriter_.flushBeforeExit();
}

Result<std::unique_ptr<Daemon>, IoError> Daemon::start(const settings::HostSettings& settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon);
    const Result<Success, IoError> opened = daemon->openAdapters(settings);
    if (!opened)
        return opened.error();
    daemon->startWatchers();
    LOG_TAGGED(INFO, "saltvaned") << "event=started host=" << settings.host.value()
                                  << " entry=" << model::toString(settings.entryAddress)
                                  << " link=" << model::toString(settings.linkAddress);
    return daemon;
}

Result<std::unique_ptr<Daemon>, IoError> Daemon::start(
    const settings::RoutedHostSettings& settings, const std::string& settingsPath)
{
    std::unique_ptr<Daemon> daemon(new Daemon);
    const Result<Success, IoError> opened = daemon->openAdapters(settings);
    if (!opened)
        return opened.error();
    daemon->startWatchers();
    daemon->seeds_ = settings.seeds;
    daemon->watchSettings(settingsPath);
    LOG_TAGGED(INFO, "saltvaned") << "event=started host=" << settings.host().value()
                                  << " role=" << (settings.isGateway ? "gateway" : "registry")
                                  << " zone=" << settings.zone.value() << " seeds=" << settings.seeds.size()
                                  << " first_start=" << (settings.isFirstStart ? "yes" : "no");
    return daemon;
}

model::Reason Daemon::recheck(const requests::TargetStart& start)
{
    const bool hasCaller = start.caller.value != 0;
    if (hasCaller && !serverFor(start.caller).isCallerConnected(start.caller))
        return model::Reason::ClientGone;
    return core_->recheckDispatch(start.dispatch, monotonicNow());
}

net::IHttpServer& Daemon::serverFor(requests::HttpHandle handle) const
{
    return *httpServers_.at(requests::listenerOf(handle));
}

void Daemon::startWatchers()
{
    ev_timer_init(&tickTimer_, onTick, 0.0, toSeconds(core_->tickInterval()));
    ev_signal_init(&terminateSignal_, onSignal, SIGTERM);
    ev_signal_init(&interruptSignal_, onSignal, SIGINT);
    tickTimer_.data = this;
    terminateSignal_.data = this;
    interruptSignal_.data = this;
    ev_timer_start(loop_, &tickTimer_);
    ev_signal_start(loop_, &terminateSignal_);
    ev_signal_start(loop_, &interruptSignal_);
    ev_signal_init(&hangUpSignal_, onHangUp, SIGHUP);
    hangUpSignal_.data = this;
    ev_signal_start(loop_, &hangUpSignal_);
}

void Daemon::watchSettings(const std::string& path)
{
    settingsPath_ = path;
    settingsModifiedAtNs_ = 0; // Forces one reload: the file may have changed while this process started.
    ev_timer_init(&settingsTimer_, onSettingsTimer, toSeconds(SettingsCheckInterval), toSeconds(SettingsCheckInterval));
    settingsTimer_.data = this;
    ev_timer_start(loop_, &settingsTimer_);
}

void Daemon::reloadSettings()
{
    if (settingsPath_.empty())
        return;
    settingsModifiedAtNs_ = modificationTimeNs(settingsPath_);
    const Result<settings::AnyHostSettings, Findings> read = settings::loadAnyHostSettings(settingsPath_);
    if (!read) {
        for (const Finding& finding : read.error().items())
            LOG_TAGGED(WARNING, "saltvaned") << "event=settings_kept finding=\"" << toString(finding) << "\"";
        return;
    }
    const auto* routed = std::get_if<settings::RoutedHostSettings>(&read.value());
    LOG_TAGGED(INFO, "saltvaned") << "event=settings_read changed="
                                  << (routed != nullptr && routed->seeds != seeds_ ? "seeds" : "nothing");
    if (routed == nullptr || routed->seeds == seeds_)
        return;
    seeds_ = routed->seeds;
    deliver(host::SeedsChanged {.seeds = seeds_});
}

int Daemon::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    ev_run(loop_, 0);
    return exitCode_;
}

void Daemon::onTick(struct ev_loop* /*loop*/, ev_timer* watcher, int /*events*/)
{
    auto* daemon = static_cast<Daemon*>(watcher->data);
    const Timestamp now = monotonicNow();
    if (const auto stall = daemon->stallMonitor_.recordTick(now, daemon->core_->tickInterval()))
        LOG_TAGGED(WARNING, "saltvaned") << "event=stood_still ms="
                                         << std::chrono::duration_cast<std::chrono::milliseconds>(*stall).count();
    daemon->core_->tick(now);
    daemon->executeActions();
    daemon->drainEvents();
    daemon->logWriter_.tick(now);
    if (daemon->isFinished_)
        daemon->continueShutdown(now);
}

void Daemon::onSignal(struct ev_loop* /*loop*/, ev_signal* watcher, int /*events*/)
{
    static_cast<Daemon*>(watcher->data)->deliver(host::StopRequested {});
}

void Daemon::onHangUp(struct ev_loop* /*loop*/, ev_signal* watcher, int /*events*/)
{
    static_cast<Daemon*>(watcher->data)->reloadSettings();
}

void Daemon::onSettingsTimer(struct ev_loop* /*loop*/, ev_timer* watcher, int /*events*/)
{
    auto* daemon = static_cast<Daemon*>(watcher->data);
    if (modificationTimeNs(daemon->settingsPath_) != daemon->settingsModifiedAtNs_)
        daemon->reloadSettings();
}

void Daemon::deliver(host::Event event)
{
    events_.push_back(std::move(event));
    drainEvents();
}

void Daemon::drainEvents()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    while (!events_.empty()) {
        host::Event event = std::move(events_.front());
        events_.pop_front();
        core_->handle(std::move(event), monotonicNow());
        executeActions();
    }
    isDraining_ = false;
}

void Daemon::executeActions()
{
    for (host::Action& action : core_->drainActions())
        std::visit([this](auto& item) { execute(std::move(item)); }, action);
}

void Daemon::execute(requests::Action action)
{
    struct Visitor {
        Daemon& daemon;
        void operator()(requests::HttpRespond& item)
        {
            net::IHttpServer& server = daemon.serverFor(item.handle);
            server.execute(std::move(item));
        }
        void operator()(requests::HttpResponseBody& item)
        {
            net::IHttpServer& server = daemon.serverFor(item.handle);
            server.execute(std::move(item));
        }
        void operator()(requests::HttpAbort& item) { daemon.serverFor(item.handle).execute(item); }
        void operator()(requests::HttpRequestWindow& item) { daemon.serverFor(item.handle).execute(item); }
        void operator()(requests::TargetStart& item) { daemon.targetClient_->execute(std::move(item)); }
        void operator()(requests::TargetRequestBody& item) { daemon.targetClient_->execute(std::move(item)); }
        void operator()(requests::TargetResponseWindow& item) { daemon.targetClient_->execute(item); }
        void operator()(requests::TargetCancel& item) { daemon.targetClient_->execute(item); }
        void operator()(model::OutgoingMessage& item) { daemon.linkHub_->send(item); }
        void operator()(requests::AccessRecord& item) { logAccess(item); }
    };
    std::visit(Visitor {*this}, action);
}

void Daemon::execute(const control::StorageWrite& write)
{
    const Result<Success, IoError> result = dataFolder_->write(write);
    if (result) {
        events_.emplace_back(control::StorageDone {.sequence = write.sequence});
        return;
    }
    LOG_TAGGED(ERROR, "net") << "event=storage_failed place=" << result.error().location << " error=\""
                             << result.error().message << "\"";
    events_.emplace_back(control::StorageFailed {.sequence = write.sequence, .message = result.error().message});
}

void Daemon::execute(const host::SoftStateWrite& write)
{
    if (const Result<Success, IoError> result = dataFolder_->writeSoftState(write.state); !result)
        LOG_TAGGED(WARNING, "net") << "event=soft_state_kept_old place=" << result.error().location << " error=\""
                                   << result.error().message << "\"";
}

void Daemon::execute(const host::DesiredLinks& links) { linkHub_->execute(links); }

void Daemon::execute(const host::CallerLimitsChanged& changed)
{
    constexpr size_t FrontListener = 0; // On hosts of every kind.
    httpServers_.at(FrontListener)->setCallerLimits(changed.limits);
}

void Daemon::execute(const host::LogLine& line)
{
    switch (line.severity) {
    case host::LogSeverity::Info:
        LOG(INFO) << "module=" << line.module << " " << line.text;
        return;
    case host::LogSeverity::Warning:
        LOG(WARNING) << "module=" << line.module << " " << line.text;
        return;
    case host::LogSeverity::Error:
        LOG(ERROR) << "module=" << line.module << " " << line.text;
        return;
    }
}

void Daemon::execute(const host::StopFinished& finished)
{
    if (isFinished_)
        return;
    isFinished_ = true;
    exitCode_ = finished.requestsCut == 0 ? ExitOk : ExitFailure;
    finishedAt_ = monotonicNow();
    LOG_TAGGED(INFO, "saltvaned") << "event=stopped requests_cut=" << finished.requestsCut;
}

void Daemon::continueShutdown(Timestamp now)
{
    for (const auto& server : httpServers_)
        server->startShutdown();
    const bool isShutDown = std::ranges::all_of(httpServers_, [](const auto& server) { return server->isShutDown(); });
    const bool isTimeOver = ++shutdownTicks_ > MinShutdownTicks && now - finishedAt_ >= MaxShutdownTime;
    if (isShutDown || shutdownFlushTicks_ > ShutdownFlushTicks)
        return ev_break(loop_, EVBREAK_ALL);
    if (!isTimeOver)
        return;
    ++shutdownFlushTicks_;
    for (const auto& server : httpServers_)
        server->endShutdown();
}

} // namespace saltvane::saltvaned
