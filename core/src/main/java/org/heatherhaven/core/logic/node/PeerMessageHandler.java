package org.heatherhaven.core.logic.node;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.membership.MemberTables;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.logic.once.OnceLogic;
import org.heatherhaven.core.logic.placement.PlacementLogic;
import org.heatherhaven.core.logic.policy.PolicyLogic;
import org.heatherhaven.core.logic.policy.PolicyLogic.PeerWord;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.quota.Lending;
import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.logic.rights.RightsLogic;
import org.heatherhaven.core.message.HandOver;
import org.heatherhaven.core.message.LoanAsk;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.message.MembersPage;
import org.heatherhaven.core.message.MembersPull;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.message.PermitAnswer;
import org.heatherhaven.core.message.PermitAsk;
import org.heatherhaven.core.message.PermitReport;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.message.PolicyPull;
import org.heatherhaven.core.message.Probe;
import org.heatherhaven.core.message.ProbeAck;
import org.heatherhaven.core.message.ProbeRequest;
import org.heatherhaven.core.message.PromiseAsk;
import org.heatherhaven.core.message.PromiseGive;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.RightId;
import org.heatherhaven.core.model.Team;

/** Handles messages of peers by passing them to the parts of the node that they concern. */
final class PeerMessageHandler {

    private PeerMessageHandler() {}

    /** Handles a message of a peer. */
    static void handle(EventContext context, PeerMessage message) {
        if (message instanceof Probe probe) {
            onProbe(context, probe);
        } else if (message instanceof ProbeAck ack) {
            onProbeAck(context, ack);
        } else if (message instanceof ProbeRequest request) {
            MembershipLogic.relayed(context.fleet, request, context.gossipUpdate(), context.out);
        } else if (message instanceof MembersPull pull) {
            context.fleet = MemberTables.answerPull(context.fleet, pull, context.now, context.out);
        } else if (message instanceof MembersPage page) {
            detectEarlierProcess(context, page.members());
            context.fleet = MemberTables.page(context.fleet, page, context.now, context.out);
        } else if (message instanceof PolicyPull pull) {
            PolicyLogic.answerPull(context.policy, pull, context.out);
        } else if (message instanceof PolicyPage page) {
            context.policy = PolicyLogic.page(context.policy, page, context.out);
        } else {
            onLeaseMessage(context, message);
        }
    }

    private static void onProbe(EventContext context, Probe probe) {
        context.fleet = MembershipLogic.probed(context.fleet, probe, context.gossipUpdate(), context.now, context.out);
        applyPolicyVersion(context, probe.from(), probe.rumours().policyVersion(), Optional.empty());
    }

    private static void onProbeAck(EventContext context, ProbeAck ack) {
        // The acknowledgement was written after the probe was sent. Counting the age of its confirmation from that
        // moment
        // can therefore only make the confirmation seem older than it is.
        Optional<Instant> confirmedAt = MembershipLogic.sentAt(context.fleet, ack)
                .map(sent -> sent.minusMillis(ack.rumours().confirmedAgoMillis()));
        context.fleet = MembershipLogic.acknowledged(context.fleet, ack, context.now);
        applyPolicyVersion(context, ack.from(), ack.rumours().policyVersion(), confirmedAt);
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
        PeerWord peerVersion = new PeerWord(peer.id(), sameZone, version, confirmedAt);
        context.policy = PolicyLogic.heard(context.policy, context.self(), peerVersion, context.now, context.out);
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
            context.placement = PlacementLogic.knownBefore(context.placement, context.now);
        }
    }

    private static void onLeaseMessage(EventContext context, PeerMessage message) {
        if (message instanceof PromiseAsk request) {
            context.leases = RightsLogic.asked(context.leases, request, context.now, context.out);
        } else if (message instanceof PromiseGive grant) {
            context.leases = RightsLogic.promised(context.leases, grant);
        } else if (message instanceof HandOver page) {
            LeaseHandovers.received(context, page);
        } else if (message instanceof LoanAsk request) {
            onLoanRequest(context, request);
        } else if (message instanceof LoanGrant grant) {
            onLoanGrant(context, grant);
        } else if (message instanceof PermitAsk request) {
            lookUpIfUnusable(context, request.right());
            context.idempotency = OnceLogic.asked(
                    context.idempotency,
                    context.leases,
                    context.rules.ledger(),
                    request,
                    believedHolder(context, request.right()),
                    context.now,
                    context.out);
        } else if (message instanceof PermitAnswer answer) {
            Permits.responseReceived(context, answer);
        } else if (message instanceof PermitReport report) {
            context.idempotency = OnceLogic.reported(context.idempotency, report);
        }
    }

    /** Answers a request for tokens of a share. */
    private static void onLoanRequest(EventContext context, LoanAsk request) {
        if (context.rules.quota() == QuotaMode.LEASED) {
            lookUpIfUnusable(context, request.right());
        }
        Optional<Team> team = Optional.ofNullable(
                context.policy.policy().teams().get(request.right().name()));
        ShareOwners owners = context.shareOwners(team.stream().toList());
        context.quota =
                Lending.asked(context.quota, owners, team.map(owners::divided), request, context.now, context.out);
    }

    /** Applies the answer to a request for tokens, and records the holder of the share if it named another. */
    private static void onLoanGrant(EventContext context, LoanGrant grant) {
        if (!grant.held() && context.rules.quota() == QuotaMode.LEASED) {
            context.leases = RightsLogic.located(context.leases, grant.right(), grant.askInstead());
        }
        Team team = context.policy.policy().teams().get(grant.right().name());
        if (team != null) {
            context.quota =
                    Borrowing.granted(context.quota, grant, team, context.borrowingContext(List.of(team)), context.out);
        }
    }

    /** Looks a requested lease up on the platform, or creates it there, if this node can't use it. */
    private static void lookUpIfUnusable(EventContext context, RightId lease) {
        if (!context.leases.usable(lease, context.now)) {
            context.leases = RightsLogic.lookUp(context.leases, lease, context.now, context.out);
        }
    }

    /** Returns the node believed to hold a lease. */
    private static Optional<NodeId> believedHolder(EventContext context, RightId lease) {
        return RightsLogic.whereIs(context.leases, lease, context.fleet);
    }
}
