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

/** Hands messages of peers to the parts that they concern. */
final class PeerMessageHandler {

    private PeerMessageHandler() {}

    static void handle(EventContext step, PeerMessage message) {
        if (message instanceof Probe probe) {
            onProbe(step, probe);
        } else if (message instanceof ProbeAck ack) {
            onProbeAck(step, ack);
        } else if (message instanceof ProbeRequest request) {
            MembershipLogic.relayed(step.fleet, request, step.gossipUpdate(), step.out);
        } else if (message instanceof MembersPull pull) {
            step.fleet = MemberTables.answerPull(step.fleet, pull, step.now, step.out);
        } else if (message instanceof MembersPage page) {
            detectEarlierProcess(step, page.members());
            step.fleet = MemberTables.page(step.fleet, page, step.now, step.out);
        } else if (message instanceof PolicyPull pull) {
            PolicyLogic.answerPull(step.policy, pull, step.out);
        } else if (message instanceof PolicyPage page) {
            step.policy = PolicyLogic.page(step.policy, page, step.out);
        } else {
            onLeaseMessage(step, message);
        }
    }

    private static void onProbe(EventContext step, Probe probe) {
        step.fleet = MembershipLogic.probed(step.fleet, probe, step.gossipUpdate(), step.now, step.out);
        applyPolicyVersion(step, probe.from(), probe.rumours().policyVersion(), Optional.empty());
    }

    private static void onProbeAck(EventContext step, ProbeAck ack) {
        // The answer was written after the probe was sent, so its age is safe when counted from there.
        Optional<Instant> confirmed = MembershipLogic.sentAt(step.fleet, ack)
                .map(sent -> sent.minusMillis(ack.rumours().confirmedAgoMillis()));
        step.fleet = MembershipLogic.acknowledged(step.fleet, ack, step.now);
        applyPolicyVersion(step, ack.from(), ack.rumours().policyVersion(), confirmed);
    }

    private static void applyPolicyVersion(
            EventContext step, Member peer, long version, Optional<Instant> confirmedAt) {
        boolean near = peer.zone().equals(step.fleet.self().zone());
        PeerWord word = new PeerWord(peer.id(), near, version, confirmedAt);
        step.policy = PolicyLogic.heard(step.policy, step.self(), word, step.now, step.out);
    }

    /** Peers that know an earlier process of this node count with it. */
    private static void detectEarlierProcess(EventContext step, List<Member> accounts) {
        Member self = step.fleet.self();
        boolean former = accounts.stream()
                .anyMatch(account -> account.id().equals(self.id()) && account.epoch() != self.epoch());
        if (former) {
            step.placement = PlacementLogic.knownBefore(step.placement, step.now);
        }
    }

    private static void onLeaseMessage(EventContext step, PeerMessage message) {
        if (message instanceof PromiseAsk ask) {
            step.leases = RightsLogic.asked(step.leases, ask, step.now, step.out);
        } else if (message instanceof PromiseGive give) {
            step.leases = RightsLogic.promised(step.leases, give);
        } else if (message instanceof HandOver page) {
            LeaseHandovers.received(step, page);
        } else if (message instanceof LoanAsk ask) {
            onLoanRequest(step, ask);
        } else if (message instanceof LoanGrant grant) {
            onLoanGrant(step, grant);
        } else if (message instanceof PermitAsk ask) {
            lookUpIfUnusable(step, ask.right());
            step.idempotency = OnceLogic.asked(
                    step.idempotency,
                    step.leases,
                    step.rules.ledger(),
                    ask,
                    believedHolder(step, ask.right()),
                    step.now,
                    step.out);
        } else if (message instanceof PermitAnswer answer) {
            Permits.responseReceived(step, answer);
        } else if (message instanceof PermitReport report) {
            step.idempotency = OnceLogic.reported(step.idempotency, report);
        }
    }

    private static void onLoanRequest(EventContext step, LoanAsk ask) {
        if (step.rules.quota() == QuotaMode.LEASED) {
            lookUpIfUnusable(step, ask.right());
        }
        Optional<Team> team =
                Optional.ofNullable(step.policy.policy().teams().get(ask.right().name()));
        ShareOwners owners = step.shareOwners(team.stream().toList());
        step.quota = Lending.asked(step.quota, owners, team.map(owners::divided), ask, step.now, step.out);
    }

    private static void onLoanGrant(EventContext step, LoanGrant grant) {
        if (!grant.held() && step.rules.quota() == QuotaMode.LEASED) {
            step.leases = RightsLogic.located(step.leases, grant.right(), grant.askInstead());
        }
        Team team = step.policy.policy().teams().get(grant.right().name());
        if (team != null) {
            step.quota = Borrowing.granted(step.quota, grant, team, step.borrowingContext(List.of(team)), step.out);
        }
    }

    /** Whoever is asked for a right that it can't use finds out where the right is, or creates it. */
    private static void lookUpIfUnusable(EventContext step, RightId right) {
        if (!step.leases.usable(right, step.now)) {
            step.leases = RightsLogic.lookUp(step.leases, right, step.now, step.out);
        }
    }

    private static Optional<NodeId> believedHolder(EventContext step, RightId right) {
        return RightsLogic.whereIs(step.leases, right, step.fleet);
    }
}
