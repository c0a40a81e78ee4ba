package org.heatherhaven.core.logic.node;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.idempotency.IdempotencyLogic;
import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.logic.membership.MemberTableSync;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.logic.placement.PlacementLogic;
import org.heatherhaven.core.logic.policy.PolicyLogic;
import org.heatherhaven.core.logic.policy.PolicyLogic.PeerPolicyVersion;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.quota.Lending;
import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.message.LeaseHandover;
import org.heatherhaven.core.message.LeaseRenewalGrant;
import org.heatherhaven.core.message.LeaseRenewalRequest;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.message.MembersPage;
import org.heatherhaven.core.message.MembersPull;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.message.PermitReport;
import org.heatherhaven.core.message.PermitRequest;
import org.heatherhaven.core.message.PermitResponse;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.message.PolicyPull;
import org.heatherhaven.core.message.Probe;
import org.heatherhaven.core.message.ProbeAck;
import org.heatherhaven.core.message.ProbeRequest;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;

/** Hands messages of peers to the parts that they concern. */
final class PeerMessageHandler {

    private PeerMessageHandler() {}

    static void handle(EventContext step, PeerMessage message) {
        if (message instanceof Probe probe) {
            onProbe(step, probe);
        } else if (message instanceof ProbeAck ack) {
            onProbeAck(step, ack);
        } else if (message instanceof ProbeRequest request) {
            MembershipLogic.handleProbeRequest(step.fleet, request, step.gossipUpdate(), step.out);
        } else if (message instanceof MembersPull pull) {
            step.fleet = MemberTableSync.handlePull(step.fleet, pull, step.now, step.out);
        } else if (message instanceof MembersPage page) {
            detectEarlierProcess(step, page.members());
            step.fleet = MemberTableSync.handlePage(step.fleet, page, step.now, step.out);
        } else if (message instanceof PolicyPull pull) {
            PolicyLogic.handlePull(step.policy, pull, step.out);
        } else if (message instanceof PolicyPage page) {
            step.policy = PolicyLogic.handlePage(step.policy, page, step.out);
        } else {
            onLeaseMessage(step, message);
        }
    }

    private static void onProbe(EventContext step, Probe probe) {
        step.fleet = MembershipLogic.handleProbe(step.fleet, probe, step.gossipUpdate(), step.now, step.out);
        applyPolicyVersion(step, probe.from(), probe.gossip().policyVersion(), Optional.empty());
    }

    private static void onProbeAck(EventContext step, ProbeAck ack) {
        // The answer was written after the probe was sent, so its age is safe when counted from there.
        Optional<Instant> confirmed = MembershipLogic.probeSentAt(step.fleet, ack)
                .map(sent -> sent.minusMillis(ack.gossip().confirmedAgoMillis()));
        step.fleet = MembershipLogic.handleProbeAck(step.fleet, ack, step.now);
        applyPolicyVersion(step, ack.from(), ack.gossip().policyVersion(), confirmed);
    }

    private static void applyPolicyVersion(
            EventContext step, Member peer, long version, Optional<Instant> confirmedAt) {
        boolean near = peer.zone().equals(step.fleet.self().zone());
        PeerPolicyVersion word = new PeerPolicyVersion(peer.id(), near, version, confirmedAt);
        step.policy = PolicyLogic.handlePeerVersion(step.policy, step.self(), word, step.now, step.out);
    }

    /** Peers that know an earlier process of this node count with it. */
    private static void detectEarlierProcess(EventContext step, List<Member> accounts) {
        Member self = step.fleet.self();
        boolean former = accounts.stream()
                .anyMatch(account -> account.id().equals(self.id()) && account.epoch() != self.epoch());
        if (former) {
            step.placement = PlacementLogic.allowLending(step.placement, step.now);
        }
    }

    private static void onLeaseMessage(EventContext step, PeerMessage message) {
        if (message instanceof LeaseRenewalRequest ask) {
            step.leases = LeasesLogic.handleRenewalRequest(step.leases, ask, step.now, step.out);
        } else if (message instanceof LeaseRenewalGrant give) {
            step.leases = LeasesLogic.handleRenewalGrant(step.leases, give);
        } else if (message instanceof LeaseHandover page) {
            LeaseHandovers.received(step, page);
        } else if (message instanceof LoanRequest ask) {
            onLoanRequest(step, ask);
        } else if (message instanceof LoanGrant grant) {
            onLoanGrant(step, grant);
        } else if (message instanceof PermitRequest ask) {
            lookUpIfUnusable(step, ask.ledgerSlot());
            step.idempotency = IdempotencyLogic.handlePermitRequest(
                    step.idempotency,
                    step.leases,
                    step.rules.ledger(),
                    ask,
                    believedHolder(step, ask.ledgerSlot()),
                    step.now,
                    step.out);
        } else if (message instanceof PermitResponse answer) {
            Permits.responseReceived(step, answer);
        } else if (message instanceof PermitReport report) {
            step.idempotency = IdempotencyLogic.handlePermitReport(step.idempotency, report);
        }
    }

    private static void onLoanRequest(EventContext step, LoanRequest ask) {
        if (step.rules.quota() == QuotaMode.LEASED) {
            lookUpIfUnusable(step, ask.share());
        }
        Optional<Team> team =
                Optional.ofNullable(step.policy.policy().teams().get(ask.share().name()));
        ShareOwners owners = step.shareOwners(team.stream().toList());
        step.quota = Lending.handleLoanRequest(
                step.quota, owners, team.map(owners::withEffectiveShares), ask, step.now, step.out);
    }

    private static void onLoanGrant(EventContext step, LoanGrant grant) {
        if (!grant.held() && step.rules.quota() == QuotaMode.LEASED) {
            step.leases = LeasesLogic.recordLocation(step.leases, grant.share(), grant.believedHolder());
        }
        Team team = step.policy.policy().teams().get(grant.share().name());
        if (team != null) {
            step.quota =
                    Borrowing.handleLoanGrant(step.quota, grant, team, step.borrowingContext(List.of(team)), step.out);
        }
    }

    /** Whoever is asked for a right that it can't use finds out where the right is, or creates it. */
    private static void lookUpIfUnusable(EventContext step, LeaseId right) {
        if (!step.leases.usable(right, step.now)) {
            step.leases = LeasesLogic.lookUp(step.leases, right, step.now, step.out);
        }
    }

    private static Optional<NodeId> believedHolder(EventContext step, LeaseId right) {
        return LeasesLogic.locate(step.leases, right, step.fleet);
    }
}
