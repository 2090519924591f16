/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/faultmatrix.h"

namespace saltvane::host {

using namespace fakes;

namespace {

HostId owner(ServingDeployment& serving)
{
    return serving.deployment.targetsOf(ServiceName("valuator")).front()->leaseOwner();
}

HostId leader(ServingDeployment& serving)
{
    const HostId proven = serving.deployment.controlLeader();
    return proven.isEmpty() ? HostId("uio-carolina-1") : proven;
}

void restartLater(ServingDeployment& serving, const HostId& id)
{
    serving.deployment.time().after(FaultDuration, [&serving, id] {
        if (!serving.deployment.host(id).isUp())
            serving.deployment.host(id).start();
    });
}

void kill(ServingDeployment& serving, const HostId& id, bool isMachineDown)
{
    serving.deployment.host(id).kill(isMachineDown);
    restartLater(serving, id);
}

void healLater(ServingDeployment& serving)
{
    serving.deployment.time().after(FaultDuration, [&serving] {
        serving.deployment.heal();
        serving.deployment.network().setLoss(0);
    });
}

void setTargetBehaviour(ServingDeployment& serving, TargetBehaviour behaviour)
{
    // The first target of each service by name.
    for (const char* service : {"valuator", "settlebox"}) {
        FakeTarget* target = serving.deployment.targetsOf(ServiceName(service)).front();
        target->setBehaviour(behaviour);
        serving.deployment.time().after(FaultDuration, [target] { target->setBehaviour(TargetBehaviour::Normal); });
    }
}

// Faults.
void entryHostDies(ServingDeployment& serving) { kill(serving, HostId("gye-urdesa-1"), false); }
void ownerMachineDies(ServingDeployment& serving) { kill(serving, owner(serving), true); }
void leaderDies(ServingDeployment& serving) { kill(serving, leader(serving), false); }

void twoControlHostsDie(ServingDeployment& serving)
{
    kill(serving, HostId("uio-carolina-1"), true);
    kill(serving, HostId("cue-yanuncay-1"), true);
}

void leaderDiskIsLost(ServingDeployment& serving)
{
    const HostId id = leader(serving);
    serving.deployment.host(id).kill(true);
    serving.deployment.host(id).disk().replace();
    restartLater(serving, id);
}

void leaderDiskIsFull(ServingDeployment& serving)
{
    FakeDisk& disk = serving.deployment.host(leader(serving)).disk();
    disk.setFull(true);
    serving.deployment.time().after(FaultDuration, [&disk] { disk.setFull(false); });
}

void hostStalls(ServingDeployment& serving)
{
    const HostId id = owner(serving);
    serving.deployment.host(id).pause();
    serving.deployment.time().after(FaultDuration, [&serving, id] { serving.deployment.host(id).resume(); });
}

void zoneIsCutOff(ServingDeployment& serving)
{
    serving.deployment.cutOff(ZoneName("gye-urdesa"));
    healLater(serving);
}

void leaderIsCutOff(ServingDeployment& serving)
{
    serving.deployment.cutOff(leader(serving));
    healLater(serving);
}

void regionDies(ServingDeployment& serving)
{
    for (const char* id : {"cue-yanuncay-1", "cue-yanuncay-2", "cue-ricaurte-1"})
        kill(serving, HostId(id), true);
    for (FakeTarget* target : serving.deployment.targets()) {
        if (!target->options().zone.value().starts_with("cue-"))
            continue;
        target->kill();
        serving.deployment.time().after(FaultDuration, [target] { target->restart(); });
    }
}

void messagesAreLate(ServingDeployment& serving)
{
    serving.deployment.network().setLoss(0.2);
    healLater(serving);
}

void targetDies(ServingDeployment& serving)
{
    FakeTarget* target = serving.deployment.targetsOf(ServiceName("valuator")).front();
    target->kill();
    serving.deployment.time().after(FaultDuration, [target] { target->restart(); });
}

void targetsStall(ServingDeployment& serving) { setTargetBehaviour(serving, TargetBehaviour::Stalled); }
void targetsBreakAnswers(ServingDeployment& serving) { setTargetBehaviour(serving, TargetBehaviour::Truncating); }
void targetsShed(ServingDeployment& serving) { setTargetBehaviour(serving, TargetBehaviour::Shedding); }

void announcementsStop(ServingDeployment& serving)
{
    // Announcements of all targets of a zone are lost.
    for (FakeTarget* target : serving.deployment.targets()) {
        if (target->options().zone != ZoneName("uio-cumbaya"))
            continue;
        target->setAnnouncementsBlocked(true);
        serving.deployment.time().after(FaultDuration, [target] { target->setAnnouncementsBlocked(false); });
    }
}

void zoneIsCutAndAHostDies(ServingDeployment& serving)
{
    zoneIsCutOff(serving);
    kill(serving, HostId("gye-urdesa-2"), true);
}

// Steps.
void steady(ServingDeployment&) { }

void bundleIsProposed(ServingDeployment& serving)
{
    serving.submitBundle(serving.deployment.plan().bundles.at(1), {2});
}

void bundleShifts(ServingDeployment& serving)
{
    EXPECT_TRUE(serving.deployment.putInForce(serving.deployment.plan().bundles.at(1), {2}));
    serving.run(1s);
}

void targetLeaves(ServingDeployment& serving) { serving.deployment.targetsOf(ServiceName("valuator")).at(9)->leave(); }

void targetStarts(ServingDeployment& serving)
{
    serving.deployment.targetsOf(ServiceName("valuator")).at(9)->restart();
    serving.run(100ms);
}

void hostStops(ServingDeployment& serving)
{
    serving.deployment.host(HostId("uio-carolina-2")).requestStop();
    restartLater(serving, HostId("uio-carolina-2"));
}

void hostStarts(ServingDeployment& serving)
{
    serving.deployment.host(HostId("uio-carolina-2")).kill();
    serving.run(1s);
    serving.deployment.host(HostId("uio-carolina-2")).start();
    serving.run(50ms);
}

void controlElects(ServingDeployment& serving)
{
    const HostId id = leader(serving);
    serving.deployment.host(id).kill();
    restartLater(serving, id);
    serving.run(500ms);
}

} // namespace

std::span<const Fault> faults()
{
    static constexpr std::array Faults {
        Fault {"entry host dies", entryHostDies},
        Fault {"owner's machine dies", ownerMachineDies},
        Fault {"control leader dies", leaderDies},
        Fault {"two control hosts die", twoControlHostsDie},
        Fault {"leader's disk is lost", leaderDiskIsLost},
        Fault {"leader's disk is full", leaderDiskIsFull},
        Fault {"owner stands still", hostStalls},
        Fault {"zone is cut off", zoneIsCutOff},
        Fault {"control leader is cut off", leaderIsCutOff},
        Fault {"region dies", regionDies},
        Fault {"messages are late", messagesAreLate},
        Fault {"target dies", targetDies},
        Fault {"targets stall", targetsStall},
        Fault {"targets break answers", targetsBreakAnswers},
        Fault {"targets shed", targetsShed},
        Fault {"announcements stop", announcementsStop},
        Fault {"zone is cut off, host in it dies", zoneIsCutAndAHostDies},
    };
    return Faults;
}

std::span<const Step> steps()
{
    static constexpr std::array Steps {
        Step {"steady load", steady},
        Step {"bundle is proposed", bundleIsProposed},
        Step {"bundle shifts traffic", bundleShifts},
        Step {"target leaves", targetLeaves},
        Step {"target starts", targetStarts},
        Step {"host stops as planned", hostStops},
        Step {"host starts", hostStarts},
        Step {"control elects", controlElects},
    };
    return Steps;
}

} // namespace saltvane::host
