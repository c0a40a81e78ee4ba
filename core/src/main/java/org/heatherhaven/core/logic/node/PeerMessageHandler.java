package org.heatherhaven.core.logic.node;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.idempotency.IdempotencyLogic;
import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.logic.membership.AnnouncementLogic;
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
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;

/** Handles messages of peers by passing them to the parts of the node that they concern. */
final class PeerMessageHandler {

    private PeerMessageHandler() {}

    /** Handles a message of a peer. */
    static void handle(EventContext context, PeerMessage message) {
        detectOwnDeath(context, message);
        if (message instanceof Probe probe) {
            onProbe(context, probe);
        } else if (message instanceof ProbeAck ack) {
            onProbeAck(context, ack);
        } else if (message instanceof ProbeRequest request) {
            MembershipLogic.handleProbeRequest(context.fleet, request, context.gossipUpdate(), context.out);
        } else if (message instanceof MembersPull pull) {
            context.fleet = MemberTableSync.handlePull(context.fleet, pull, context.now, context.out);
        } else if (message instanceof MembersPage page) {
            detectEarlierProcess(context, page.members());
            context.fleet = MemberTableSync.handlePage(context.fleet, page, context.now, context.out);
        } else if (message instanceof PolicyPull pull) {
            PolicyLogic.handlePull(context.policy, pull, context.out);
        } else if (message instanceof PolicyPage page) {
            context.policy = PolicyLogic.handlePage(context.policy, page, context.out);
        } else {
            onLeaseMessage(context, message);
        }
    }

    /** Has this node's announcement checked if a peer holds this process dead: the announcement may be removed then. */
    private static void detectOwnDeath(EventContext context, PeerMessage message) {
        List<Member> members = List.of();
        if (message instanceof Probe probe) {
            members = probe.gossip().members();
        } else if (message instanceof ProbeAck ack) {
            members = ack.gossip().members();
        } else if (message instanceof MembersPage page) {
            members = page.members();
        }
        Member self = context.fleet.self();
        boolean heldDead = members.stream()
                .anyMatch(member -> member.id().equals(self.id())
                        && member.epoch() == self.epoch()
                        && member.status() == MemberStatus.DEAD);
        if (heldDead) {
            context.announcement = AnnouncementLogic.suspectRemoval(context.announcement, context.fleet, context.now);
        }
    }

    private static void onProbe(EventContext context, Probe probe) {
        context.fleet =
                MembershipLogic.handleProbe(context.fleet, probe, context.gossipUpdate(), context.now, context.out);
        applyPolicyVersion(context, probe.from(), probe.gossip().policyVersion(), Optional.empty());
    }

    private static void onProbeAck(EventContext context, ProbeAck ack) {
        // The acknowledgement was written after the probe was sent. Counting the age of its confirmation from that
        // moment can therefore only make the confirmation seem older than it is.
        Optional<Instant> confirmedAt = MembershipLogic.probeSentAt(context.fleet, ack)
                .map(sent -> sent.minusMillis(ack.gossip().confirmedAgoMillis()));
        context.fleet = MembershipLogic.handleProbeAck(context.fleet, ack, context.now);
        applyPolicyVersion(context, ack.from(), ack.gossip().policyVersion(), confirmedAt);
    }

    /**
     * Applies the number of the policy version that a peer has in force.
     *
     * @param confirmedAt when the platform confirmed to the peer that its version is the newest, empty if that can't be
     *     dated
     */
    private static void applyPolicyVersion(
            EventContext context, Member peer, long version, Optional<Instant> confirmedAt) {
        boolean sameZone = peer.zone().equals(context.fleet.self().zone());
        PeerPolicyVersion peerVersion = new PeerPolicyVersion(peer.id(), sameZone, version, confirmedAt);
        context.policy =
                PolicyLogic.handlePeerVersion(context.policy, context.self(), peerVersion, context.now, context.out);
    }

    /**
     * Allows this node to lend tokens at once if peers list an earlier process of it: they already count it among the
     * owners of shares.
     */
    private static void detectEarlierProcess(EventContext context, List<Member> members) {
        Member self = context.fleet.self();
        boolean hasEarlierProcess =
                members.stream().anyMatch(member -> member.id().equals(self.id()) && member.epoch() != self.epoch());
        if (hasEarlierProcess) {
            context.placement = PlacementLogic.allowLending(context.placement, context.now);
        }
    }

    private static void onLeaseMessage(EventContext context, PeerMessage message) {
        if (message instanceof LeaseRenewalRequest request) {
            context.leases = LeasesLogic.handleRenewalRequest(context.leases, request, context.now, context.out);
        } else if (message instanceof LeaseRenewalGrant grant) {
            context.leases = LeasesLogic.handleRenewalGrant(context.leases, grant);
        } else if (message instanceof LeaseHandover page) {
            LeaseHandovers.received(context, page);
        } else if (message instanceof LoanRequest request) {
            onLoanRequest(context, request);
        } else if (message instanceof LoanGrant grant) {
            onLoanGrant(context, grant);
        } else if (message instanceof PermitRequest request) {
            lookUpIfUnusable(context, request.ledgerSlot());
            context.idempotency = IdempotencyLogic.handlePermitRequest(
                    context.idempotency,
                    context.leases,
                    context.rules.ledger(),
                    request,
                    believedHolder(context, request.ledgerSlot()),
                    context.now,
                    context.out);
        } else if (message instanceof PermitResponse response) {
            Permits.responseReceived(context, response);
        } else if (message instanceof PermitReport report) {
            context.idempotency = IdempotencyLogic.handlePermitReport(context.idempotency, report);
        }
    }

    /** Answers a request for tokens of a share. */
    private static void onLoanRequest(EventContext context, LoanRequest request) {
        if (context.rules.quota() == QuotaMode.LEASED) {
            lookUpIfUnusable(context, request.share());
        }
        Optional<Team> team = Optional.ofNullable(
                context.policy.policy().teams().get(request.share().name()));
        ShareOwners owners = context.shareOwners(team.stream().toList());
        context.quota = Lending.handleLoanRequest(
                context.quota, owners, team.map(owners::withEffectiveShares), request, context.now, context.out);
    }

    /** Applies the answer to a request for tokens, and records the holder of the share if it named another. */
    private static void onLoanGrant(EventContext context, LoanGrant grant) {
        if (!grant.held() && context.rules.quota() == QuotaMode.LEASED) {
            context.leases = LeasesLogic.recordLocation(context.leases, grant.share(), grant.believedHolder());
        }
        Team team = context.policy.policy().teams().get(grant.share().name());
        if (team != null) {
            context.quota = Borrowing.handleLoanGrant(
                    context.quota, grant, team, context.borrowingContext(List.of(team)), context.out);
        }
    }

    /** Looks a requested lease up on the platform, or creates it there, if this node can't use it. */
    private static void lookUpIfUnusable(EventContext context, LeaseId lease) {
        if (!context.leases.usable(lease, context.now)) {
            context.leases = LeasesLogic.lookUp(context.leases, lease, context.now, context.out);
        }
    }

    /** Returns the node believed to hold a lease. */
    private static Optional<NodeId> believedHolder(EventContext context, LeaseId lease) {
        return LeasesLogic.locate(context.leases, lease, context.fleet);
    }
}
